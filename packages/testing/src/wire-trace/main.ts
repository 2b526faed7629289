/**
 * Prints for each seed a digest of everything that crosses the boundary of the nodes, to compare
 * the behaviour of two versions of the sources. Usage:
 * `npm run --silent wire-trace -- --seeds 1-20 --site rented`.
 */
import { parseArgs } from 'node:util';
import { parseSeeds } from '../simulation/seeded-random.js';
import { SITES, traceOf, type Site } from './trace-of.js';
import { WireTrace } from './wire-trace.js';

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '1-20' },
    site: { type: 'string', default: 'owned' },
  },
});

const isSite = (name: string): name is Site => Object.hasOwn(SITES, name);
if (!isSite(values.site)) {
  throw new RangeError(`--site: must be one of ${Object.keys(SITES).join(', ')}`);
}

for (const seed of parseSeeds(values.seeds)) {
  process.stdout.write(`seed ${seed} ${traceOf(seed, new WireTrace(), values.site)}\n`);
}
