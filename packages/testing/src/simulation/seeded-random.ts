/** Random numbers that repeat with their seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { Random } from '@tealdock/controller';

/** Uniform in [0, 1). */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

const GOLDEN_RATIO = 0x9e3779b1;
const DISCARDED_DRAW_COUNT = 16;

/** The same for seeds that follow each other, whose first draws would otherwise be alike. */
export function mixedRandom(seed: number): Random {
  const random = seededRandom(Math.imul(seed, GOLDEN_RATIO));
  for (let i = 0; i < DISCARDED_DRAW_COUNT; i++) random();
  return random;
}

/** Uniform between two bounds. */
export const between = (random: Random, least: number, most: number): number =>
  least + random() * (most - least);

/** One of these, each as likely as any other. */
export function pick<T>(random: Random, from: readonly T[]): T {
  const chosen = from[Math.floor(random() * from.length)];
  if (chosen === undefined) throw new RangeError('nothing to pick from');
  return chosen;
}

/** Seeds like `7`, `1-50` or `1,3,6`; throws `RangeError` for anything else. */
export function parseSeeds(text: string): number[] {
  return text.split(',').flatMap((range) => {
    const [from = NaN, to = from] = range.split('-').map(Number);
    if (!Number.isInteger(from) || !Number.isInteger(to) || to < from) {
      throw new RangeError('--seeds: must be like 7, 1-50 or 1,3,6');
    }
    return Array.from({ length: to - from + 1 }, (_, i) => from + i);
  });
}
