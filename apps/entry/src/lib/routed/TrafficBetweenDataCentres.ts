/** What this host knows of the traffic between data centres: how far they are, how large answers are, and what has been sent. */
import type { EndpointChoice } from '@eelgrassmux/routing/endpoints/endpointQuery'
import type { EndpointState } from '@eelgrassmux/routing/endpoints/EndpointState'
import type { LoadFeatures } from '@eelgrassmux/routing/features/LoadFeatures'
import { AnswerSizes } from '@eelgrassmux/routing/places/AnswerSizes'
import { DataCentreDistances } from '@eelgrassmux/routing/places/DataCentreDistances'
import type { DataCentreTraffic } from '@eelgrassmux/routing/places/dataCentreTraffic'
import type { LabelledCounter, Telemetry } from '@eelgrassmux/telemetry/Telemetry'

const MILLISECONDS_PER_SECOND = 1000

/** Learns from connections and answers while the feature `data-centre-distance` is in use. */
export class TrafficBetweenDataCentres {
  readonly #distances: DataCentreDistances
  readonly #answerSizes = new AnswerSizes()
  readonly #requests: LabelledCounter
  readonly #bytes: LabelledCounter

  /**
   * @param own - data centre of this host
   * @param features - features for hard load that are in use
   * @param telemetry - log and metrics
   */
  constructor (private readonly own: string, private readonly features: LoadFeatures, private readonly telemetry: Telemetry) {
    this.#distances = new DataCentreDistances(own)
    this.#requests = telemetry.labelledCounter('data_centre_requests_total', 'Requests sent to endpoints in this data centre and in others', 'place')
    this.#bytes = telemetry.labelledCounter('data_centre_bytes_total', 'Bytes between data centres by what they belong to', 'kind')
    telemetry.gauge('data_centres_of_known_distance', 'Other data centres to which connections were established', () => this.#distances.knownCount)
    telemetry.gauge('farthest_data_centre_seconds', 'Round trip to the farthest data centre of known distance', () => this.#distances.farthestMs / MILLISECONDS_PER_SECOND)
  }

  get #isEnabled (): boolean { return this.features.isEnabled('data-centre-distance') }

  /**
   * @param route - route of a request
   * @param requestBytes - size of its body
   * @returns what the request would move to another data centre; undefined while the feature is off
   */
  ofRequest (route: string, requestBytes: number): DataCentreTraffic | undefined {
    return this.#isEnabled ? { distances: this.#distances, bytes: requestBytes + this.#answerSizes.expectedBytes(route) } : undefined
  }

  /**
   * @param endpoint - endpoint to which a connection was established
   * @param milliseconds - time that it took
   */
  observeConnection (endpoint: EndpointState, milliseconds: number): void {
    if (!this.#isEnabled) return
    const change = this.#distances.observeConnection(endpoint.listed.dataCentre, milliseconds, performance.now())
    if (change === undefined) return
    const { dataCentre, roundTripMs, previousMs, samples } = change
    this.telemetry.logStateChange('data-centre-distance', { dataCentre, roundTripMs: Number(roundTripMs.toFixed(2)), previousMs: Number(previousMs.toFixed(2)), samples })
  }

  /**
   * @param choice - endpoint that the request was sent to
   * @param requestBytes - size of its body
   */
  countRequest ({ endpoint, prefill }: EndpointChoice, requestBytes: number): void {
    if (!this.#isEnabled) return
    for (const { store, dataCentre, bytes } of prefill.transfers) {
      if (store.dataCentre !== dataCentre) this.#bytes.count('fetch', bytes)
    }
    const isOwn = endpoint.listed.dataCentre === this.own
    this.#requests.count(isOwn ? 'own' : 'other')
    if (!isOwn) this.#bytes.count('request', requestBytes)
  }

  /**
   * @param route - route of the request
   * @param endpoint - endpoint that answered
   * @param bytes - size of the complete answer
   */
  observeAnswer (route: string, endpoint: EndpointState, bytes: number): void {
    if (!this.#isEnabled) return
    this.#answerSizes.observe(route, bytes)
    if (endpoint.listed.dataCentre !== this.own) this.#bytes.count('answer', bytes)
  }
}
