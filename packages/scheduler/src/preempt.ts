/** What to stop on one machine. */
import type { Duration } from '@tealdock/wire';
import { fits, plus, type Resources } from './model.js';

/** Something that could be stopped, and what its stop would lose. */
export interface Victim<T> {
  of: T;
  size: Resources;
  lost: Duration;
}

/** Tasks to stop on one machine, and the work lost by that. */
export interface Plan<T> {
  victims: Victim<T>[];
  lost: Duration;
}

/** What to stop on one machine so that there is room, the least work lost first. */
export function planPreemption<T>(
  free: Resources,
  victims: Victim<T>[],
  wanted: Resources,
): Plan<T> | null {
  let room = free;
  const chosen: Victim<T>[] = [];
  for (const victim of victims.sort((a, b) => a.lost - b.lost)) {
    if (fits(wanted, room)) break;
    room = plus(room, victim.size);
    chosen.push(victim);
  }
  if (!fits(wanted, room)) return null;
  return { victims: chosen, lost: chosen.reduce((sum, v) => sum + v.lost, 0) };
}
