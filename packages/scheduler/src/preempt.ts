import type { Duration } from '@tealdock/wire';
import { NOTHING, fits, plus, type Resources } from './model.js';

/** A task that could be stopped, and what its stop would lose. */
export interface Victim {
  task: string;
  size: Resources;
  lost: Duration;
}

/** What one machine could offer. */
export interface Offer {
  machine: string;
  /** Free now, with what is already being stopped. */
  free: Resources;
  victims: Victim[];
}

export interface Plan {
  machine: string;
  victims: Victim[];
  lost: Duration;
}

function planOn(offer: Offer, wanted: Resources): Plan | null {
  let room = plus(offer.free, NOTHING);
  const chosen: Victim[] = [];
  for (const victim of [...offer.victims].sort((a, b) => a.lost - b.lost)) {
    if (fits(wanted, room)) break;
    room = plus(room, victim.size);
    chosen.push(victim);
  }
  if (!fits(wanted, room)) return null;
  return { machine: offer.machine, victims: chosen, lost: chosen.reduce((s, v) => s + v.lost, 0) };
}

/** The machine where making room loses the least work. */
export function cheapestPlan(offers: Offer[], wanted: Resources): Plan | null {
  let best: Plan | null = null;
  for (const offer of offers) {
    const plan = planOn(offer, wanted);
    if (plan && (!best || plan.lost < best.lost)) best = plan;
  }
  return best;
}
