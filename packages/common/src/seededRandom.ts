import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A pseudorandom number generator whose sequence is determined by its seed. */
export interface SeededRandom {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer in [0, bound). */
  nextInteger(bound: number): number;
}

const UINT32_RANGE = 2 ** 32;

/** Creates a generator from a seed. */
export function createSeededRandom(seed: number): SeededRandom {
  const generator = xoroshiro128plus(seed);
  const next = (): number => (generator.next() >>> 0) / UINT32_RANGE;
  return { next, nextInteger: (bound) => Math.floor(next() * bound) };
}
