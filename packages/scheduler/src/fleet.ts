import type { JobSpec, MachineType } from '@tealdock/wire';
import { minus, need, slots, type Resources } from './model.js';
import { placeAllowed, type Place } from './rules.js';

/** Tasks of one job that wait for room. */
export interface Backlog {
  spec: JobSpec;
  tasks: number;
  /** Most that a task's slot may cost an hour; work in no hurry waits for a cheap one. */
  mostPrice?: number;
}

/** Free or coming capacity that need not be rented. */
export interface Room extends Place {
  free: Resources;
}

/** A kind of machine that can be asked for now. */
export interface Offering extends Place {
  price: number;
  size: Resources;
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
        size: { cpus: t.cpus, gpus: t.gpus, memoryGb: t.memoryGb },
      })),
    ),
  );
  return all.filter((o) => !refused(o));
}

/** Price of one task slot for an hour; the tail of a backlog does not fill a large machine. */
const slotPrice = (o: Offering, wanted: Resources, tasks: number): number =>
  o.price / Math.max(1, Math.min(slots(wanted, o.size), tasks));

function cheapest(all: Offering[], backlog: Backlog, tasks: number): Offering | undefined {
  const wanted = need(backlog.spec);
  const able = all.filter(
    (o) => placeAllowed(backlog.spec, o, NOWHERE) && slots(wanted, o.size) > 0,
  );
  const price = (o: Offering) => slotPrice(o, wanted, tasks);
  const best = able.sort((a, b) => price(a) - price(b))[0];
  return best && price(best) <= (backlog.mostPrice ?? Infinity) ? best : undefined;
}

/** The least that a slot for such a task costs an hour, on a machine filled with them. */
export function leastSlotPrice(all: Offering[], spec: JobSpec): number {
  const wanted = need(spec);
  const able = all.filter((o) => placeAllowed(spec, o, NOWHERE) && slots(wanted, o.size) > 0);
  return Math.min(Infinity, ...able.map((o) => slotPrice(o, wanted, Infinity)));
}

function useRoom(room: Room[], backlog: Backlog): number {
  const wanted = need(backlog.spec);
  let left = backlog.tasks;
  for (const r of room) {
    if (left === 0) break;
    if (!placeAllowed(backlog.spec, r, NOWHERE)) continue;
    const taken = Math.min(left, slots(wanted, r.free));
    left -= taken;
    const used = {
      cpus: wanted.cpus * taken,
      gpus: wanted.gpus * taken,
      memoryGb: wanted.memoryGb * taken,
    };
    r.free = minus(r.free, used);
  }
  return left;
}

/**
 * The machines to ask for so that the backlog finds room, in the order of the
 * backlog; machines planned for an earlier job take tasks of later ones too.
 */
export function planRentals(
  backlog: Backlog[],
  room: Room[],
  offers: Offering[],
  most: number,
): Offering[] {
  const rooms = room.map((r) => ({ ...r }));
  const plan: Offering[] = [];
  for (const entry of backlog) {
    let left = useRoom(rooms, entry);
    while (left > 0 && plan.length < most) {
      const offer = cheapest(offers, entry, left);
      if (!offer) break;
      plan.push(offer);
      const added: Room = { ...offer, free: offer.size };
      left = useRoom([added], { spec: entry.spec, tasks: left });
      rooms.push(added);
    }
  }
  return plan;
}
