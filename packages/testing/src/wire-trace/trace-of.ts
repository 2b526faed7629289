/** Digests of seeded runs with random faults. */
import { runRandomFaultsOnRentedFleet, runRandomFaults } from '../simulation/random-faults.js';
import { WireTrace } from './wire-trace.js';

/** Kinds of fleets on which a run can take place, by their names on the command line. */
export const SITES = { owned: runRandomFaults, rented: runRandomFaultsOnRentedFleet } as const;

/** A name in `SITES`. */
export type Site = keyof typeof SITES;

/**
 * Runs a seed with random faults; returns the digest of everything that crossed the boundary of the
 * nodes, and of the values stored at the end.
 */
export function traceOf(seed: number, trace = new WireTrace(), site: Site = 'owned'): string {
  const { cluster } = SITES[site]({ seed, observer: trace });
  trace.stored(cluster.now(), cluster.state.keys);
  return trace.digest();
}
