/** What entry hosts tell of the work that they have under way at endpoints. */

/** Work of one or all hosts at one endpoint. */
export interface EndpointWork {
  readonly endpoint: string
  /** Requests sent and not answered whole. */
  readonly inFlight: number
  /** Prompt tokens to be read before the first events of those requests. */
  readonly pendingTokens: number
  /** Tokens that those requests hold, or will hold, in the endpoint's memory. */
  readonly heldTokens: number
}

/** One host's own work. */
export interface LoadReport {
  readonly host: string
  /** Rises with each report. */
  readonly sequence: number
  readonly work: readonly EndpointWork[]
}

/** Work of all hosts, as it is answered to one of them. */
export interface LoadTotals {
  /** The report of the asking host that the work includes. */
  readonly sequence: number
  readonly work: readonly EndpointWork[]
}
