/**
 * Prints one digest a seed over everything that crosses the boundary of the nodes, to compare
 * two versions of the sources: `npm run --silent wire-trace -- --seeds 1-20`.
 */
import { parseArgs } from 'node:util';
import { parseSeeds } from '../simulation/seeded-random.js';
import { traceOf } from './trace-of.js';

const { values } = parseArgs({ options: { seeds: { type: 'string', default: '1-20' } } });

for (const seed of parseSeeds(values.seeds)) {
  process.stdout.write(`seed ${seed} ${traceOf(seed)}\n`);
}
