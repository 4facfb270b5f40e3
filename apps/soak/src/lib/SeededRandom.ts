/** Seeded draws: the same seed gives the same faults and the same work. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** One sequence of draws. */
export class SeededRandom {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  /** @param seed - whole number */
  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** @returns a number from `least` up to, but not including, `most` */
  between (min: number, max: number): number {
    return min + uniformFloat64(this.#generator) * (max - min)
  }

  /** @returns a whole number from 0 up to, but not including, `count` */
  index (count: number): number {
    return Math.floor(this.between(0, count))
  }

  /** @returns one of the items */
  pick<Item> (items: readonly Item[]): Item {
    const item = items[this.index(items.length)]
    if (item === undefined) throw new Error('there is nothing to draw from')
    return item
  }
}
