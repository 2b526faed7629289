/** Plays the random faults of a seed and digests what crosses. */
import { runRandomFaultsOnRentedFleet, runRandomFaults } from '../simulation/random-faults.js';
import { WireTrace } from './wire-trace.js';

/** Sites whose traces can be compared. */
export const SITES = { owned: runRandomFaults, rented: runRandomFaultsOnRentedFleet } as const;

/** Name of a site. */
export type Site = keyof typeof SITES;

/** The digest of all that crosses under the random faults of a seed. */
export function traceOf(seed: number, trace = new WireTrace(), site: Site = 'owned'): string {
  const { cluster } = SITES[site]({ seed, observer: trace });
  trace.stored(cluster.now(), cluster.state.keys);
  return trace.digest();
}
