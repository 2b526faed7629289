/** Plans which machines to rent for a backlog of tasks. */
import type { JobSpec, MachineType } from '@tealdock/wire';
import {
  isPlacementAllowed,
  type MachinePool,
  type TaskCountByZone,
} from './placement-constraints.js';
import {
  fits,
  machineResources,
  minResources,
  multiplyResources,
  resourcesOf,
  subtractResources,
  taskSlots,
  type Resources,
} from './resources.js';

/** Tasks of one job that need capacity. */
export interface BacklogEntry {
  spec: JobSpec;
  taskCount: number;
  /** Limit of a task slot's price per hour, for work that can wait; undefined: no limit. */
  maxSlotPrice?: number;
}

/** Free capacity of a machine that is in the fleet or will be, so it need not be rented. */
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

/** All pools of the catalog's machine types, except those for which `isRefused` returns true. */
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
        resources: machineResources(type, zone),
      })),
    ),
  );
  return all.filter((offering) => !isRefused(offering));
}

/**
 * Price of one task slot per hour. Only as many slots share the price of a machine as tasks
 * remain, since the last tasks of a backlog may not fill a large machine.
 */
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

/**
 * The offering with the cheapest slot. Undefined if there is no suitable one or the slot costs
 * more than the entry's limit.
 */
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

/**
 * The lowest price per hour of a slot for the job's tasks, on a machine filled with them;
 * Infinity if no offering is suitable.
 */
export function minSlotPrice(offerings: Offering[], spec: JobSpec): number {
  const requested = resourcesOf(spec);
  const prices = suitableOfferings(offerings, spec).map((offering) =>
    slotPrice(offering, requested, Infinity),
  );
  return Math.min(Infinity, ...prices);
}

/** Subtracts the tasks that fit from the free capacity. Returns how many tasks do not fit. */
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
 * The machines to rent so that the backlog fits, at most `maxMachines`; one element for each
 * machine. Entries are planned in the given order, and later entries also use the remaining
 * capacity of machines that are planned for earlier ones.
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
    // Drops full machines, which would be examined again for every later entry.
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
