/** In-memory stand-in for the cloud service. */
import type { CallResult } from '@tealdock/controller';

/** A machine of the cloud, owned or rented, booting or running; times in ms. */
export interface CloudMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  requestedAt: number;
  /** When its boot is complete. */
  readyAt: number;
}

const answer = (status: number, body: unknown): CallResult => ({ kind: 'answer', status, body });

/** The only machine type in the catalog, with the field names of the cloud's interface. */
export const MACHINE_TYPE = {
  label: 'small',
  cpus: 4,
  accelerators: 0,
  mem_gb: 16,
  cache_gb: 40,
  pull_gb_per_s: 1,
  price: 0.2,
  low_price: 0.1,
  ready_s: 10,
  halls: ['a', 'b'],
};

/** Serves the cloud's interface for one machine type; rents machines until `capacity` exist. */
export class FakeCloud {
  /** Machines that exist now, owned and rented, by id. */
  readonly machines = new Map<string, CloudMachine>();
  /** Ids of all machines that were ever rented, in the order of their rental. */
  readonly rentedIds: string[] = [];
  /** Rental requests received, including repeated and refused ones. */
  rentalRequestCount = 0;
  /** Types in the catalog beside `MACHINE_TYPE`. */
  furtherTypes: (typeof MACHINE_TYPE)[] = [];
  /** During an outage every request is answered with 503. */
  down = false;
  /** Machine ids by idempotency key, so that a repeated request rents nothing more. */
  private readonly hostsByRental = new Map<string, string[]>();
  private lastNumber = 0;

  constructor(
    private readonly now: () => number,
    private readonly capacity: number,
    /** Called for each machine that is returned or reclaimed. */
    private readonly onMachineRemoved: (id: string) => void,
  ) {}

  /** Adds a machine, also beyond the capacity; it is ready after `bootTime` ms. */
  addMachine(zone: string, spot = false, bootTime = 0): CloudMachine {
    const id = `m-${String(++this.lastNumber).padStart(6, '0')}`;
    const machine = {
      id,
      type: MACHINE_TYPE.label,
      zone,
      spot,
      requestedAt: this.now(),
      readyAt: this.now() + bootTime,
    };
    this.machines.set(id, machine);
    return machine;
  }

  /** Removes a machine, because it is returned or because the cloud reclaims it. */
  removeMachine(id: string): void {
    if (this.machines.delete(id)) this.onMachineRemoved(id);
  }

  /** Answers a request of a controller. */
  handle(path: string, body: unknown): CallResult {
    if (this.down) return answer(503, { error: 'trouble' });
    if (path === '/catalog') return answer(200, { flavours: [MACHINE_TYPE, ...this.furtherTypes] });
    if (path === '/machines/return') {
      for (const id of (body as { hosts: string[] }).hosts) this.removeMachine(id);
      return answer(200, {});
    }
    return path === '/machines' ? this.rent(body as RentalRequest) : this.list(path);
  }

  /** Rents as many machines as the capacity allows, or answers 503 if it allows none. */
  private rent(r: RentalRequest): CallResult {
    this.rentalRequestCount++;
    const rented = this.hostsByRental.get(r.rental);
    if (rented) return answer(200, { hosts: rented });
    const freeCount = this.capacity - this.machines.size;
    if (freeCount <= 0) return answer(503, { error: 'no capacity' });
    const hosts: string[] = [];
    for (let i = 0; i < Math.min(freeCount, r.count); i++) {
      hosts.push(this.addMachine(r.hall, r.spare, 6000).id);
    }
    this.rentedIds.push(...hosts);
    this.hostsByRental.set(r.rental, hosts);
    return answer(200, { hosts });
  }

  private list(path: string): CallResult {
    const after = new URL(path, 'http://cloud').searchParams.get('after') ?? '';
    const hosts = [...this.machines.values()]
      .filter((m) => m.id > after)
      .map((m) => ({
        ref: m.id,
        addr: `${m.id}:1`,
        flavour: m.type,
        hall: m.zone,
        spare: m.spot,
        status: m.readyAt <= this.now() ? 'running' : 'booting',
        age_s: (this.now() - m.requestedAt) / 1000,
      }));
    return answer(200, { hosts, has_next: false });
  }
}

interface RentalRequest {
  /** Idempotency key. */
  rental: string;
  hall: string;
  spare: boolean;
  count: number;
}
