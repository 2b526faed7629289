/** Which machines to rent for a backlog. */
import type { JobSpec, MachineType } from '@tealdock/wire';
import {
  fits,
  minResources,
  subtractResources,
  resourcesOf,
  taskSlots,
  type Resources,
} from './resources.js';
import { placeAllowed, type Place } from './placement-constraints.js';

/** Tasks of one job that wait for room. */
export interface Backlog {
  spec: JobSpec;
  tasks: number;
  /** Most that a task's slot may cost an hour; work in no hurry waits for a cheap one. */
  maxPrice?: number;
}

/** Free or coming capacity that need not be rented. */
export interface FreeCapacity extends Place {
  free: Resources;
}

/** A kind of machine that can be asked for now. */
export interface Offering extends Place {
  price: number;
  resources: Resources;
}

const NOWHERE: ReadonlyMap<string, number> = new Map();

/** Everything the catalog offers, less what was refused recently. */
export function offerings(types: MachineType[], refused: (place: Place) => boolean): Offering[] {
  const all = types.flatMap((t) =>
    t.zones.flatMap((zone) =>
      [true, false].map((spot) => ({
        type: t.name,
        zone,
        spot,
        price: spot ? t.spotPrice : t.price,
        resources: { cpus: t.cpus, gpus: t.gpus, memoryGb: t.memoryGb },
      })),
    ),
  );
  return all.filter((o) => !refused(o));
}

/** Price of one task slot for an hour; the tail of a backlog does not fill a large machine. */
const slotPrice = (o: Offering, wanted: Resources, tasks: number): number =>
  o.price / Math.max(1, Math.min(taskSlots(wanted, o.resources), tasks));

/** Offers that can hold such a task. */
function ableOffers(offers: Offering[], spec: JobSpec): Offering[] {
  const wanted = resourcesOf(spec);
  return offers.filter((o) => placeAllowed(spec, o, NOWHERE) && taskSlots(wanted, o.resources) > 0);
}

function cheapest(able: Offering[], backlog: Backlog, tasks: number): Offering | undefined {
  const wanted = resourcesOf(backlog.spec);
  let best: Offering | undefined;
  let lowest = Infinity;
  for (const offer of able) {
    const price = slotPrice(offer, wanted, tasks);
    if (price < lowest) [best, lowest] = [offer, price];
  }
  return lowest <= (backlog.maxPrice ?? Infinity) ? best : undefined;
}

/** The least that a slot for such a task costs an hour, on a machine filled with them. */
export function minSlotPrice(all: Offering[], spec: JobSpec): number {
  const wanted = resourcesOf(spec);
  const prices = ableOffers(all, spec).map((o) => slotPrice(o, wanted, Infinity));
  return Math.min(Infinity, ...prices);
}

/** Takes room for as many of the tasks as there is, and says how many are left. */
function useRoom(rooms: FreeCapacity[], spec: JobSpec, tasks: number): number {
  const wanted = resourcesOf(spec);
  let left = tasks;
  for (const r of rooms) {
    if (left === 0) break;
    const taken = Math.min(left, taskSlots(wanted, r.free));
    if (taken === 0 || !placeAllowed(spec, r, NOWHERE)) continue;
    left -= taken;
    const used = {
      cpus: wanted.cpus * taken,
      gpus: wanted.gpus * taken,
      memoryGb: wanted.memoryGb * taken,
    };
    r.free = subtractResources(r.free, used);
  }
  return left;
}

/**
 * The machines to ask for so that the backlog finds room, in the order of the
 * backlog; machines planned for an earlier job take tasks of later ones too.
 */
export function planRentals(
  backlog: Backlog[],
  room: FreeCapacity[],
  offers: Offering[],
  most: number,
): Offering[] {
  const wanting = backlog.filter((entry) => entry.tasks > 0);
  if (wanting.length === 0 || offers.length === 0) return [];
  const smallest = wanting.map((entry) => resourcesOf(entry.spec)).reduce(minResources);
  const usable = (r: FreeCapacity) => fits(smallest, r.free);
  let rooms = room.filter(usable).map((r) => ({ ...r }));
  const plan: Offering[] = [];
  for (const entry of wanting) {
    if (plan.length >= most) break;
    let left = useRoom(rooms, entry.spec, entry.tasks);
    // Full machines would be looked at again for every later job.
    rooms = rooms.filter(usable);
    const able = left > 0 ? ableOffers(offers, entry.spec) : [];
    while (left > 0 && plan.length < most) {
      const offer = cheapest(able, entry, left);
      if (!offer) break;
      plan.push(offer);
      const added: FreeCapacity = { ...offer, free: offer.resources };
      left = useRoom([added], entry.spec, left);
      if (usable(added)) rooms.push(added);
    }
  }
  return plan;
}
