/** Which machines to rent for a backlog of tasks. */
import type { JobSpec, MachineType } from '@tealdock/wire';
import {
  isPlacementAllowed,
  type MachinePool,
  type TaskCountByZone,
} from './placement-constraints.js';
import {
  fits,
  minResources,
  multiplyResources,
  resourcesOf,
  subtractResources,
  taskSlots,
  type Resources,
} from './resources.js';

/** Tasks of one job that wait for capacity. */
export interface BacklogEntry {
  spec: JobSpec;
  taskCount: number;
  /** What a task's slot may cost an hour; work in no hurry waits for a cheap one. */
  maxSlotPrice?: number;
}

/** Free capacity, now or soon, that need not be rented. */
export interface FreeCapacity extends MachinePool {
  free: Resources;
}

/** A pool of machines that can be rented now. */
export interface Offering extends MachinePool {
  /** Price per hour of one machine. */
  price: number;
  /** Resources of one machine. */
  resources: Resources;
}

/** Rentals are planned as if no task were bound yet. */
const NO_BOUND_TASKS: TaskCountByZone = new Map();

/** Everything the catalog offers, less what was refused recently. */
export function listOfferings(
  types: MachineType[],
  isRefused: (pool: MachinePool) => boolean,
): Offering[] {
  const all = types.flatMap((type) =>
    type.zones.flatMap((zone) =>
      [true, false].map((spot) => ({
        type: type.name,
        zone,
        spot,
        price: spot ? type.spotPrice : type.price,
        resources: { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb },
      })),
    ),
  );
  return all.filter((offering) => !isRefused(offering));
}

/** Price of one task slot for an hour; the tail of a backlog does not fill a large machine. */
function slotPrice(offering: Offering, requested: Resources, taskCount: number): number {
  const usedSlots = Math.min(taskSlots(requested, offering.resources), taskCount);
  return offering.price / Math.max(1, usedSlots);
}

/** Offerings on which a task of the job may run. */
function suitableOfferings(offerings: Offering[], spec: JobSpec): Offering[] {
  const requested = resourcesOf(spec);
  return offerings.filter(
    (offering) =>
      isPlacementAllowed(spec, offering, NO_BOUND_TASKS) &&
      taskSlots(requested, offering.resources) > 0,
  );
}

/** Undefined if the cheapest slot is over the entry's price limit. */
function cheapestOffering(
  suitable: Offering[],
  entry: BacklogEntry,
  taskCount: number,
): Offering | undefined {
  const requested = resourcesOf(entry.spec);
  let cheapest: Offering | undefined;
  let lowestPrice = Infinity;
  for (const offering of suitable) {
    const price = slotPrice(offering, requested, taskCount);
    if (price < lowestPrice) [cheapest, lowestPrice] = [offering, price];
  }
  return lowestPrice <= (entry.maxSlotPrice ?? Infinity) ? cheapest : undefined;
}

/** The lowest price of a slot for an hour, on a machine filled with such tasks. */
export function minSlotPrice(offerings: Offering[], spec: JobSpec): number {
  const requested = resourcesOf(spec);
  const prices = suitableOfferings(offerings, spec).map((offering) =>
    slotPrice(offering, requested, Infinity),
  );
  return Math.min(Infinity, ...prices);
}

/** Takes free capacity for as many of the tasks as fit, and returns how many are left. */
function allocateFreeCapacity(
  capacities: FreeCapacity[],
  spec: JobSpec,
  taskCount: number,
): number {
  const requested = resourcesOf(spec);
  let left = taskCount;
  for (const capacity of capacities) {
    if (left === 0) break;
    const taken = Math.min(left, taskSlots(requested, capacity.free));
    if (taken === 0 || !isPlacementAllowed(spec, capacity, NO_BOUND_TASKS)) continue;
    left -= taken;
    capacity.free = subtractResources(capacity.free, multiplyResources(requested, taken));
  }
  return left;
}

/**
 * The machines to rent so that the whole backlog fits, in the order of the backlog, at most
 * `maxMachines`; machines planned for an earlier job take tasks of later ones too.
 */
export function planRentals(
  backlog: BacklogEntry[],
  freeCapacity: FreeCapacity[],
  offerings: Offering[],
  maxMachines: number,
): Offering[] {
  const entries = backlog.filter(({ taskCount }) => taskCount > 0);
  if (entries.length === 0 || offerings.length === 0) return [];
  const smallest = entries.map(({ spec }) => resourcesOf(spec)).reduce(minResources);
  const isUsable = ({ free }: FreeCapacity) => fits(smallest, free);
  let capacities = freeCapacity.filter(isUsable).map((capacity) => ({ ...capacity }));
  const plan: Offering[] = [];
  for (const entry of entries) {
    if (plan.length >= maxMachines) break;
    let left = allocateFreeCapacity(capacities, entry.spec, entry.taskCount);
    // Without full machines, which every later job would look at again.
    capacities = capacities.filter(isUsable);
    const suitable = left > 0 ? suitableOfferings(offerings, entry.spec) : [];
    while (left > 0 && plan.length < maxMachines) {
      const offering = cheapestOffering(suitable, entry, left);
      if (!offering) break;
      plan.push(offering);
      const rented: FreeCapacity = { ...offering, free: offering.resources };
      left = allocateFreeCapacity([rented], entry.spec, left);
      if (isUsable(rented)) capacities.push(rented);
    }
  }
  return plan;
}
