/** Chooses the tasks to stop on one machine. */
import type { Duration } from '@tealdock/wire';
import { fits, addResources, type Resources } from './resources.js';

/** A task that may be stopped. */
export interface Victim<T> {
  item: T;
  resources: Resources;
  /** Cost of stopping the task, as time of lost work. */
  lostWork: Duration;
}

/** Tasks to stop on one machine, and the sum of their `lostWork`. */
export interface PreemptionPlan<T> {
  victims: Victim<T>[];
  lostWork: Duration;
}

/**
 * Chooses candidates with the least lost work first, until the requested resources would be free;
 * null if stopping all of them would not free enough. Sorts `candidates` in place.
 */
export function planPreemption<T>(
  free: Resources,
  candidates: Victim<T>[],
  requested: Resources,
): PreemptionPlan<T> | null {
  let freeAfterStops = free;
  const victims: Victim<T>[] = [];
  for (const candidate of candidates.sort((a, b) => a.lostWork - b.lostWork)) {
    if (fits(requested, freeAfterStops)) break;
    freeAfterStops = addResources(freeAfterStops, candidate.resources);
    victims.push(candidate);
  }
  if (!fits(requested, freeAfterStops)) return null;
  return { victims, lostWork: victims.reduce((sum, victim) => sum + victim.lostWork, 0) };
}
