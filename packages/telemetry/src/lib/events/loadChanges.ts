import { z } from 'zod'

/** Features for hard load. */
export const loadChanges = {
  'load-features': z.strictObject({ features: z.string(), reason: z.string() }),
  /** The leader does not answer, and waiting requests are placed by this host alone. */
  'waiting-without-leader': z.strictObject({ waiting: z.number() }),
  'waiting-with-leader': z.strictObject({ waiting: z.number() }),
  /** Requests wait for turns of the event loop, because this host has more than it can begin; `refused` counts since the last line. */
  'requests-wait-for-turns': z.strictObject({ waiting: z.number(), expectedMs: z.number(), requestMs: z.number(), refused: z.number() }),
  /** The distance of another data centre has become known or has changed. */
  'data-centre-distance': z.strictObject({ dataCentre: z.string(), roundTripMs: z.number(), previousMs: z.number(), samples: z.number() })
}
