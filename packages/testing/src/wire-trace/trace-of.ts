/** Plays the random faults of a seed and digests what crosses. */
import { playRandomFaults } from '../simulation/random-faults.js';
import { WireTrace } from './wire-trace.js';

/** The digest of all that crosses under the random faults of a seed. */
export function traceOf(seed: number, trace = new WireTrace()): string {
  const { cluster } = playRandomFaults({ seed, observer: trace });
  trace.stored(cluster.now(), cluster.state.keys);
  return trace.digest();
}
