/** Requests for machines, each repeated under its name until the cloud has answered. */
import { MACHINES_PATH, parseRented, renderRent, type Instant } from '@tealdock/wire';
import { listOfferings, type MachinePool, type Offering } from '@tealdock/scheduler';
import type { MachineTypes } from '../placement/fleet-policy.js';
import { parseOrNull } from '../runtime/call-results.js';
import { PRIORITY, type CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { TermStatus } from '../term/term-view.js';
import { CLOUD_CALL_TIMEOUT_MS, type CloudCalls } from './cloud-calls.js';
import type { MachineInventory } from './machine-inventory.js';

/** A pool that was refused is not asked for again for this long. */
const REFUSAL_TTL_MS = 15_000;
/** A request without an answer is sent again this long after its call has timed out. */
const REPEAT_DELAY_MS = 1000;
const REPEAT_INTERVAL_MS = CLOUD_CALL_TIMEOUT_MS + REPEAT_DELAY_MS;

/** A request for machines of one pool; its name makes it idempotent. */
interface RentalRequest extends MachinePool {
  request: string;
  count: number;
  /** When it was last sent. */
  requestedAt: Instant;
}

/** What rental requests work with. */
export interface RentalRequestsParts {
  readonly runtime: Runtime;
  readonly term: TermStatus;
  readonly catalog: MachineTypes;
  readonly cloud: CloudCalls;
  readonly inventory: MachineInventory;
  /** Called once all requests are answered: what was refused may be rented elsewhere. */
  readonly onAllAnswered: () => void;
}

/** The same for machines of one pool. */
export const poolKey = ({ type, zone, spot }: MachinePool): string => `${type} ${zone} ${spot}`;

/** Rents machines. One request for a pool is under way at a time. */
export class RentalRequests {
  private readonly requests = new Map<string, RentalRequest>();
  /** Until when pools are not asked for, by pool key. */
  private readonly refusedUntil = new Map<string, Instant>();
  private lastRequestNumber = 0;

  constructor(private readonly parts: RentalRequestsParts) {}

  /** Requests without an answer yet. */
  get pending(): readonly Readonly<RentalRequest>[] {
    return [...this.requests.values()];
  }

  /** What may be rented just now. */
  offerings(): Offering[] {
    const { catalog, runtime } = this.parts;
    const isRefused = (pool: MachinePool) =>
      (this.refusedUntil.get(poolKey(pool)) ?? 0) > runtime.now;
    return listOfferings(catalog.types, isRefused);
  }

  /** Rents machines, unless a request for the pool is under way: its answer says if there are more. */
  request({ type, zone, spot }: MachinePool, count: number): void {
    const key = poolKey({ type, zone, spot });
    if (this.pending.some((pending) => poolKey(pending) === key)) return;
    const request = `${this.parts.term.fencingToken}-${++this.lastRequestNumber}`;
    const requestedAt = this.parts.runtime.now;
    const rental = { request, type, zone, spot, count, requestedAt };
    this.requests.set(request, rental);
    this.send(rental);
  }

  /** Repeats requests without an answer, under the same name, so that none is rented twice. */
  repeatUnanswered(): void {
    const { now } = this.parts.runtime;
    for (const rental of this.requests.values()) {
      if (now - rental.requestedAt > REPEAT_INTERVAL_MS) this.send(rental);
    }
  }

  private send(rental: RentalRequest): void {
    rental.requestedAt = this.parts.runtime.now;
    const body = renderRent(rental);
    const call = { method: 'POST', path: MACHINES_PATH, body, priority: PRIORITY.leader };
    this.parts.cloud.send(call, (result) => this.receiveResult(rental, result));
  }

  private receiveResult(rental: RentalRequest, result: CallResult): void {
    if (result.kind !== 'answer' || !this.requests.has(rental.request)) return;
    const hosts = rentedMachines(result);
    if (hosts === null) return;
    const { runtime, inventory, onAllAnswered } = this.parts;
    this.requests.delete(rental.request);
    const { type, zone, spot } = rental;
    for (const id of hosts) {
      inventory.provisioning.set(id, { type, zone, spot, requestedAt: runtime.now });
    }
    if (hosts.length < rental.count) {
      this.refusedUntil.set(poolKey(rental), runtime.now + REFUSAL_TTL_MS);
    }
    if (this.requests.size === 0) runtime.after(0, onAllAnswered);
    runtime.log('info', { ...rental, hosts, status: result.status }, 'scale-out answered');
  }
}

/** Ids of the machines rented, none where refused; null where the request has to be repeated. */
function rentedMachines({
  status,
  body,
}: Extract<CallResult, { kind: 'answer' }>): string[] | null {
  if (status === 200) return parseOrNull(() => parseRented(body));
  const lacksCapacity = status === 503 && /capacity/.test(JSON.stringify(body));
  return lacksCapacity || status === 400 ? [] : null;
}
