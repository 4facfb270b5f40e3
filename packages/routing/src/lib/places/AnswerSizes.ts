/** Mean size of the answers of each route, for the expected traffic between data centres. */

/** Weight of the newest answer in the mean. */
const SMOOTHING = 0.1

/** Mean bytes of answers by route. */
export class AnswerSizes {
  readonly #meanBytes = new Map<string, number>()

  /**
   * @param route - route name
   * @param bytes - size of one complete answer
   */
  observe (route: string, bytes: number): void {
    const mean = this.#meanBytes.get(route) ?? bytes
    this.#meanBytes.set(route, mean + (bytes - mean) * SMOOTHING)
  }

  /**
   * @param route - route name
   * @returns expected bytes of an answer; 0 before the first one
   */
  expectedBytes (route: string): number {
    return this.#meanBytes.get(route) ?? 0
  }
}
