/** Seeded random numbers: the same seed gives the same faults and the same requests. */
import { mix32 } from '@eelgrassmux/routing/prompts/homeEndpoint'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** One sequence of random numbers. */
export class SeededRandom {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  /** @param seed - any integer */
  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /**
   * Creates one of many sequences whose seeds are close together. Without mixing, the first numbers of such sequences
   * are nearly equal: all callers of a run chose the same host for their first connection.
   *
   * @param seed - any integer
   * @returns a sequence that is independent of those of neighbouring seeds
   */
  static ofNeighbour (seed: number): SeededRandom {
    return new SeededRandom(mix32(seed))
  }

  /** @returns a number from `min` up to, but not including, `max` */
  between (min: number, max: number): number {
    return min + uniformFloat64(this.#generator) * (max - min)
  }

  /** @returns an integer from 0 up to, but not including, `count` */
  index (count: number): number {
    return Math.floor(this.between(0, count))
  }

  /** @returns one of the items; throws if there are none */
  pick<Item> (items: readonly Item[]): Item {
    const item = items[this.index(items.length)]
    if (item === undefined) throw new Error('cannot pick an item from an empty list')
    return item
  }
}
