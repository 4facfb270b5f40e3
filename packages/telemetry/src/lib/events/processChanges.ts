import { z } from 'zod'
import { memoryFields } from './memoryFields.js'

/** Lifecycle of a process. */
export const processChanges = {
  loaded: z.strictObject({
    /** `no`, or the reason why the compiled code saved by the build was not used. */
    compiledAnew: z.string(),
    isPortOpen: z.boolean().optional()
  }),
  started: z.strictObject({
    http: z.string().optional(),
    peer: z.string().optional(),
    rpc: z.string().optional(),
    replicaId: z.string().optional(),
    operators: z.string().optional(),
    admin: z.string(),
    /** Memory of the host as stated by its settings; 0 if it is not known. */
    memoryLimitBytes: z.number(),
    /** Heap at which the engine ends the process. */
    heapLimitBytes: z.number(),
    residentBytes: z.number()
  }),
  /** The resident memory crossed a share of the host's memory. */
  memory: z.strictObject({
    share: z.number(),
    isAbove: z.boolean(),
    limitBytes: z.number(),
    ...memoryFields
  }),
  /** A start, or a server for operators' tools, waits for something that may still come. */
  'dependency-missing': z.strictObject({ dependency: z.string(), reason: z.string(), waitedMs: z.number() }),
  'dependency-found': z.strictObject({ dependency: z.string(), waitedMs: z.number() }),
  reloading: z.strictObject({}),
  reloaded: z.strictObject({
    /** Empty if the reload succeeded. */
    error: z.string(),
    contacts: z.string()
  }),
  draining: z.strictObject({}),
  stopped: z.strictObject({}),
  /** A connection to another host carried nothing any more and was replaced. */
  'connection-silent': z.strictObject({ address: z.string() }),
  /** Lines about requests were omitted because they exceeded the limit per second; lines about failures are omitted last. */
  'request-lines-left-out': z.strictObject({ count: z.number() }),
  /** Lines were dropped because earlier ones were not read. */
  'log-lines-dropped': z.strictObject({ count: z.number() })
}
