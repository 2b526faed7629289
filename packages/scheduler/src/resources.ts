/** Resources and arithmetic on them. */
import type { JobSpec } from '@tealdock/wire';

/** Amounts of what tasks take of a machine. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Tolerance for sums of decimal amounts. */
const EPSILON = 1e-6;

export const resourcesOf = (spec: JobSpec): Resources => ({
  cpus: spec.cpus,
  gpus: spec.gpus,
  memoryGb: spec.memoryGb,
});

export const fits = (requested: Resources, free: Resources): boolean =>
  requested.cpus <= free.cpus + EPSILON &&
  requested.gpus <= free.gpus + EPSILON &&
  requested.memoryGb <= free.memoryGb + EPSILON;

export const addResources = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
  memoryGb: a.memoryGb + b.memoryGb,
});

export const subtractResources = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
  memoryGb: a.memoryGb - b.memoryGb,
});

/** The smaller of each kind. */
export const minResources = (a: Resources, b: Resources): Resources => ({
  cpus: Math.min(a.cpus, b.cpus),
  gpus: Math.min(a.gpus, b.gpus),
  memoryGb: Math.min(a.memoryGb, b.memoryGb),
});

export const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** How many tasks of this size fit into a room. */
export function taskSlots(wanted: Resources, room: Resources): number {
  const ratio = (w: number, r: number) => (w <= 0 ? Infinity : Math.floor((r + EPSILON) / w));
  const count = Math.min(
    ratio(wanted.cpus, room.cpus),
    ratio(wanted.gpus, room.gpus),
    ratio(wanted.memoryGb, room.memoryGb),
  );
  return Math.max(0, Math.min(count, 1000));
}

/** The largest booked share over the kinds of resource a machine has. */
export function bookedShare(total: Resources, free: Resources): number {
  const share = (t: number, f: number) => (t <= 0 ? 0 : (t - f) / t);
  return Math.max(
    share(total.cpus, free.cpus),
    share(total.gpus, free.gpus),
    share(total.memoryGb, free.memoryGb),
  );
}
