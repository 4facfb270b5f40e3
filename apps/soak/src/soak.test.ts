/** Short seeded runs of the soak. */
import { describe, expect, it } from 'vitest'
import { loadFeatureSchema } from '@eelgrassmux/routing/features/LoadFeatures'
import { LOAD_FAULT_KINDS } from './lib/faultPlan.js'
import { describeRun, play, TIMEOUT_MS } from './lib/testing/playShort.js'

describe('a soak of real processes', () => {
  it('keeps every promise under seeded faults', async () => {
    const result = await play({ seconds: 10 })
    expect(result.requests).toBeGreaterThan(0)
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  /**
   * Guards against a request that crashes one engine after another. One short request crashed ten engines in 14 s,
   * each 70 to 240 ms after its arrival and through any host, and each crash cut off 5 to 19 other requests. It was
   * sent with the same customer, path and body under new ids. No host knew of the earlier attempts, because hosts
   * counted failures against endpoints only.
   */
  it('stops sending a request that ends every endpoint that runs it, and serves those beside it', async () => {
    const result = await play({ seconds: 12, kinds: ['new-site'], poisonRequests: 1 })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against a part of prompts that crashes one engine after another in requests that have nothing else in common.
  it('stops sending requests with a part that ends every endpoint that runs it', async () => {
    const result = await play({ seconds: 12, kinds: ['new-site'], poisonParts: 1 })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against hosts that ignore what endpoints ask of them in their answers.
  it('keeps pauses and rates that endpoints ask for, and sends nothing to those that say they leave', async () => {
    const result = await play({ seconds: 12, kinds: ['new-site', 'restraint', 'restraint', 'restrained-service', 'kill'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against hosts that refuse their callers while they are partitioned from all endpoints and other hosts are not.
  it('serves callers of hosts that are cut off from all endpoints', async () => {
    const result = await play({ seconds: 12, kinds: ['host-cut', 'new-site'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against a group of control hosts that loses what it acknowledged, or never decides again, when disks are lost while others are killed.
  it('keeps its sites while control hosts lose their disks and all entry hosts are killed at once', async () => {
    const result = await play({ seconds: 14, kinds: ['lost-disk', 'lost-disk', 'new-site', 'all-entries-killed'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against hosts that obey an old site, and groups that confirm no read, until the keepalive of dead connections runs out.
  it('puts sites in force and confirms reads while open connections go silent', async () => {
    const result = await play({ seconds: 12, kinds: ['silent-connections'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against hosts that together send a brittle endpoint more than it can reject without failing.
  it('lets no more brittle endpoints fall over than may', async () => {
    const result = await play({ seconds: 12, kinds: ['brittle-service', 'new-site'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against hosts that read for as long as an endpoint in trouble sends bytes that are no answer.
  it('closes connections on which answers without end come', async () => {
    const result = await play({ seconds: 12, kinds: ['endless-answers', 'endless-answers', 'new-site', 'kill'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against one entry of the endpoint list that puts others out of use.
  it('serves its callers while the list shows entries that no endpoint belongs to', async () => {
    const result = await play({ seconds: 12, kinds: ['strange-entry', 'new-site'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against promises on the ground of second answers of endpoints, and on that of bytes behind calls that run.
  it('gives promises only for what has not run while endpoints answer twice and callers send bytes behind their calls', async () => {
    const result = await play({ seconds: 12, kinds: ['second-answers', 'second-answers', 'bytes-behind', 'pause', 'new-site'], loadFeatures: ['waiting-order'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against a host that falls behind with all its requests because the balancer hands it most new connections.
  it('serves its callers while the balancer hands most new connections to one host', async () => {
    const result = await play({ seconds: 12, kinds: ['crowd', 'new-site'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against processes that hold more memory than they are told because of what callers send, or leave open.
  it('keeps its processes within their memory while large bodies stop or come slowly and many connections are idle', async () => {
    const result = await play({ seconds: 12, kinds: ['large-bodies', 'idle-connections', 'new-site', 'stop'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against hosts that neither accept connections nor reject requests in time while more call than they can serve.
  it('answers or rejects in time while more callers call a host than it can serve', async () => {
    const result = await play({ seconds: 12, kinds: ['many-callers', 'new-site'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against processes that end because a port is still taken when they start.
  it('starts processes whose ports are taken for some time', async () => {
    const result = await play({ seconds: 12, kinds: ['taken-port', 'new-site', 'kill'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  it('sends nothing to data centres that are evacuated, and little to endpoints that come back cold', async () => {
    const result = await play({ seconds: 12, kinds: ['evacuation', 'cold-return', 'cold-return', 'pause'] })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)

  // Guards against features for hard load that break a promise, exceed the retry budget or starve a customer while callers compete.
  it('keeps every promise under a burst, slow readers, slow machines and a full service, with all features for hard load', async () => {
    const result = await play({ seconds: 12, kinds: [...LOAD_FAULT_KINDS, 'new-site', 'kill'], loadFeatures: loadFeatureSchema.options })
    expect(result.violations, describeRun(result)).toEqual([])
  }, TIMEOUT_MS)
})
