/** What to stop on one machine. */
import type { Duration } from '@tealdock/wire';
import { fits, addResources, type Resources } from './resources.js';

/** Something that could be stopped, and what its stop would lose. */
export interface Victim<T> {
  item: T;
  resources: Resources;
  lostWork: Duration;
}

/** Tasks to stop on one machine, and the work lost by that. */
export interface PreemptionPlan<T> {
  victims: Victim<T>[];
  lostWork: Duration;
}

/** What to stop on one machine so that there is room, the least work lost first. */
export function planPreemption<T>(
  free: Resources,
  victims: Victim<T>[],
  wanted: Resources,
): PreemptionPlan<T> | null {
  let room = free;
  const chosen: Victim<T>[] = [];
  for (const victim of victims.sort((a, b) => a.lostWork - b.lostWork)) {
    if (fits(wanted, room)) break;
    room = addResources(room, victim.resources);
    chosen.push(victim);
  }
  if (!fits(wanted, room)) return null;
  return { victims: chosen, lostWork: chosen.reduce((sum, v) => sum + v.lostWork, 0) };
}
