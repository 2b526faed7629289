/** Resources and arithmetic on them. */
import {
  maxEntryBytesOfJob,
  taskBytesOfNewMachine,
  type JobSpec,
  type MachineType,
} from '@tealdock/wire';

/** Amounts of the resources that a task uses or a machine has. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Bytes of the machine's heartbeats, which name every task and are limited in size. */
  heartbeatBytes: number;
}

/** Tolerance for rounding errors in sums of decimal amounts. */
export const RESOURCE_EPSILON = 1e-6;
/** Limit of `taskSlots`, since any number of tasks fits if they request no resources. */
const MAX_SLOT_COUNT = 1000;

/** No resources at all. */
export const NO_RESOURCES: Resources = {
  cpus: 0,
  gpus: 0,
  memoryGb: 0,
  heartbeatBytes: 0,
};

/** Resources that each task of a job requests. */
export const resourcesOf = (spec: JobSpec): Resources => ({
  cpus: spec.cpus,
  gpus: spec.gpus,
  memoryGb: spec.memoryGb,
  heartbeatBytes: maxEntryBytesOfJob(spec),
});

/** Results of `machineResources` by type and zone, since placement asks for them all the time. */
const resourcesByZone = new WeakMap<MachineType, Map<string, Resources>>();

/** Resources of a machine without tasks, of this type and in this zone. */
export function machineResources(type: MachineType, zone: string): Resources {
  const byZone = resourcesByZone.get(type) ?? new Map<string, Resources>();
  const known = byZone.get(zone);
  if (known) return known;
  const { name, cpus, gpus, memoryGb } = type;
  const resources = { cpus, gpus, memoryGb, heartbeatBytes: taskBytesOfNewMachine(name, zone) };
  resourcesByZone.set(type, byZone.set(zone, resources));
  return resources;
}

/** Whether the requested resources fit into the free ones. */
export const fits = (requested: Resources, free: Resources): boolean =>
  requested.cpus <= free.cpus + RESOURCE_EPSILON &&
  requested.gpus <= free.gpus + RESOURCE_EPSILON &&
  requested.memoryGb <= free.memoryGb + RESOURCE_EPSILON &&
  requested.heartbeatBytes <= free.heartbeatBytes;

/** `a + b` of each kind. */
export const addResources = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
  memoryGb: a.memoryGb + b.memoryGb,
  heartbeatBytes: a.heartbeatBytes + b.heartbeatBytes,
});

/** `a - b` of each kind; may be negative. */
export const subtractResources = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
  memoryGb: a.memoryGb - b.memoryGb,
  heartbeatBytes: a.heartbeatBytes - b.heartbeatBytes,
});

/** `each * count` of each kind. */
export const multiplyResources = (each: Resources, count: number): Resources => ({
  cpus: each.cpus * count,
  gpus: each.gpus * count,
  memoryGb: each.memoryGb * count,
  heartbeatBytes: each.heartbeatBytes * count,
});

/** The smaller amount of each kind. */
export const minResources = (a: Resources, b: Resources): Resources => ({
  cpus: Math.min(a.cpus, b.cpus),
  gpus: Math.min(a.gpus, b.gpus),
  memoryGb: Math.min(a.memoryGb, b.memoryGb),
  heartbeatBytes: Math.min(a.heartbeatBytes, b.heartbeatBytes),
});

/** Number of tasks with these requests that fit into the free resources, at most `MAX_SLOT_COUNT`. */
export function taskSlots(requested: Resources, free: Resources): number {
  const slots = (each: number, available: number) =>
    each <= 0 ? Infinity : Math.floor((available + RESOURCE_EPSILON) / each);
  const count = Math.min(
    slots(requested.cpus, free.cpus),
    slots(requested.gpus, free.gpus),
    slots(requested.memoryGb, free.memoryGb),
    slots(requested.heartbeatBytes, free.heartbeatBytes),
  );
  return Math.max(0, Math.min(count, MAX_SLOT_COUNT));
}

/** What a machine has to offer that costs money. */
type PaidResources = Omit<Resources, 'heartbeatBytes'>;

/** The allocated fraction, from 0 to 1, of the machine's most allocated paid resource. */
export function allocatedFraction(total: PaidResources, free: PaidResources): number {
  const fraction = (all: number, rest: number) => (all <= 0 ? 0 : (all - rest) / all);
  return Math.max(
    fraction(total.cpus, free.cpus),
    fraction(total.gpus, free.gpus),
    fraction(total.memoryGb, free.memoryGb),
  );
}
