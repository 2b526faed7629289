/** The cloud in memory. */
import type { CallResult } from '@tealdock/controller';

/** A rented machine, from the request on. */
export interface CloudMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  requestedAt: number;
  readyAt: number;
}

const answer = (status: number, body: unknown): CallResult => ({ kind: 'answer', status, body });

/** The one machine type of the cloud, in the protocol's form. */
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

/** The cloud in memory: one machine type, a capacity, and outages on demand. */
export class FakeCloud {
  readonly machines = new Map<string, CloudMachine>();
  readonly rentedIds: string[] = [];
  rentalRequestCount = 0;
  down = false;
  private readonly hostsByRental = new Map<string, string[]>();
  private lastNumber = 0;

  constructor(
    private readonly now: () => number,
    private readonly capacity: number,
    private readonly onGone: (id: string) => void,
  ) {}

  add(zone: string, spot = false, boot = 0): CloudMachine {
    const id = `m-${String(++this.lastNumber).padStart(6, '0')}`;
    const machine = {
      id,
      type: MACHINE_TYPE.label,
      zone,
      spot,
      requestedAt: this.now(),
      readyAt: this.now() + boot,
    };
    this.machines.set(id, machine);
    return machine;
  }

  take(id: string): void {
    if (this.machines.delete(id)) this.onGone(id);
  }

  handle(path: string, body: unknown): CallResult {
    if (this.down) return answer(503, { error: 'trouble' });
    if (path === '/catalog') return answer(200, { flavours: [MACHINE_TYPE] });
    if (path === '/machines/return') {
      for (const id of (body as { hosts: string[] }).hosts) this.take(id);
      return answer(200, {});
    }
    return path === '/machines' ? this.rent(body as Rental) : this.list(path);
  }

  private rent(r: Rental): CallResult {
    this.rentalRequestCount++;
    const known = this.hostsByRental.get(r.rental);
    if (known) return answer(200, { hosts: known });
    const freeCount = this.capacity - this.machines.size;
    if (freeCount <= 0) return answer(503, { error: 'no capacity' });
    const hosts: string[] = [];
    for (let i = 0; i < Math.min(freeCount, r.count); i++) {
      hosts.push(this.add(r.hall, r.spare, 6000).id);
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

interface Rental {
  rental: string;
  hall: string;
  spare: boolean;
  count: number;
}
