import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers whose sequence is fixed by its seed. */
export interface SeededRandom {
  /** A number in [0, 1). */
  next(): number;
  /** A whole number in [0, bound). */
  below(bound: number): number;
}

const UINT32_RANGE = 2 ** 32;

/** Creates a generator; equal seeds give equal sequences. */
export function createSeededRandom(seed: number): SeededRandom {
  const generator = xoroshiro128plus(seed);
  const next = (): number => (generator.next() >>> 0) / UINT32_RANGE;
  return { next, below: (bound) => Math.floor(next() * bound) };
}
