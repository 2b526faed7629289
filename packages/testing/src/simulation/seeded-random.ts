/** Random numbers that are reproducible from a seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { Random } from '@tealdock/controller';

/** A generator of numbers that are uniform in [0, 1). */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Multiplier of Knuth's multiplicative hash, a prime near 2^32 divided by the golden ratio. */
const HASH_MULTIPLIER = 0x9e3779b1;
const DISCARDED_DRAW_COUNT = 16;

/** Like `seededRandom`, for consecutive seeds: their first draws would otherwise be similar. */
export function mixedRandom(seed: number): Random {
  const random = seededRandom(Math.imul(seed, HASH_MULTIPLIER));
  for (let i = 0; i < DISCARDED_DRAW_COUNT; i++) random();
  return random;
}

/** A number that is uniform in [min, max). */
export const between = (random: Random, min: number, max: number): number =>
  min + random() * (max - min);

/** One of the elements, all equally likely; throws `RangeError` if there are none. */
export function pick<T>(random: Random, from: readonly T[]): T {
  const chosen = from[Math.floor(random() * from.length)];
  if (chosen === undefined) throw new RangeError('nothing to pick from');
  return chosen;
}

/**
 * Parses seeds like `7`, `1-50` or `1,3,6`; throws `RangeError` if a seed is not an integer or a
 * range ends before it starts.
 */
export function parseSeeds(text: string): number[] {
  return text.split(',').flatMap((range) => {
    const [from = NaN, to = from] = range.split('-').map(Number);
    if (!Number.isInteger(from) || !Number.isInteger(to) || to < from) {
      throw new RangeError('--seeds: must be like 7, 1-50 or 1,3,6');
    }
    return Array.from({ length: to - from + 1 }, (_, i) => from + i);
  });
}
