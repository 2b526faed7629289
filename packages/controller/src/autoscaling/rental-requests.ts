/** Requests for machines, each repeated under the same name until the cloud has answered. */
import {
  MACHINES_PATH,
  parseRentedMachines,
  renderRentalRequest,
  type Instant,
} from '@tealdock/wire';
import { listOfferings, type MachinePool, type Offering } from '@tealdock/scheduler';
import type { MachineTypes } from '../placement/fleet-policy.js';
import { parseOrNull } from '../runtime/call-results.js';
import { PRIORITY, type CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { TermStatus } from '../term/term-view.js';
import { CLOUD_CALL_TIMEOUT_MS, type CloudCalls } from './cloud-calls.js';
import type { MachineInventory } from './machine-inventory.js';

/** A pool is not requested again for this long after the cloud has refused machines of it. */
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

/** Dependencies of `RentalRequests`. */
export interface RentalRequestsDependencies {
  readonly runtime: Runtime;
  readonly term: TermStatus;
  readonly catalog: MachineTypes;
  readonly cloud: CloudCalls;
  readonly inventory: MachineInventory;
  /** Called when all requests are answered: refused machines may be rented from other pools. */
  readonly onAllAnswered: () => void;
}

/** Key of a pool: equal for machines of the same type and zone that are both spot or both not. */
export const poolKey = ({ type, zone, spot }: MachinePool): string => `${type} ${zone} ${spot}`;

/** Rents machines, with at most one pending request for each pool. */
export class RentalRequests {
  private readonly requests = new Map<string, RentalRequest>();
  /** Instants before which no machines of a refused pool are requested, by pool key. */
  private readonly refusedUntil = new Map<string, Instant>();
  private lastRequestNumber = 0;

  constructor(private readonly dependencies: RentalRequestsDependencies) {}

  /** Requests without an answer yet. */
  get pending(): readonly Readonly<RentalRequest>[] {
    return [...this.requests.values()];
  }

  /** Offerings that may be rented now: those of pools not refused recently. */
  offerings(): Offering[] {
    const { catalog, runtime } = this.dependencies;
    const isRefused = (pool: MachinePool) =>
      (this.refusedUntil.get(poolKey(pool)) ?? 0) > runtime.now;
    return listOfferings(catalog.types, isRefused);
  }

  /** Requests machines, unless a request is pending: its answer shows if the pool has more. */
  request({ type, zone, spot }: MachinePool, count: number): void {
    const key = poolKey({ type, zone, spot });
    if (this.pending.some((pending) => poolKey(pending) === key)) return;
    const request = `${this.dependencies.term.fencingToken}-${++this.lastRequestNumber}`;
    const requestedAt = this.dependencies.runtime.now;
    const rental = { request, type, zone, spot, count, requestedAt };
    this.requests.set(request, rental);
    this.send(rental);
  }

  /** Repeats overdue requests under the same name, so that no machine is rented twice. */
  repeatUnanswered(): void {
    const { now } = this.dependencies.runtime;
    for (const rental of this.requests.values()) {
      if (now - rental.requestedAt > REPEAT_INTERVAL_MS) this.send(rental);
    }
  }

  private send(rental: RentalRequest): void {
    rental.requestedAt = this.dependencies.runtime.now;
    const body = renderRentalRequest(rental);
    const call = { method: 'POST', path: MACHINES_PATH, body, priority: PRIORITY.leader };
    this.dependencies.cloud.send(call, (result) => this.receiveResult(rental, result));
  }

  private receiveResult(rental: RentalRequest, result: CallResult): void {
    if (result.kind !== 'answer' || !this.requests.has(rental.request)) return;
    const hosts = rentedMachines(result);
    if (hosts === null) return;
    const { runtime, inventory, onAllAnswered } = this.dependencies;
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

/** Ids of the rented machines, empty after a refusal; null if the request has to be repeated. */
function rentedMachines({
  status,
  body,
}: Extract<CallResult, { kind: 'answer' }>): string[] | null {
  if (status === 200) return parseOrNull(() => parseRentedMachines(body));
  const lacksCapacity = status === 503 && /capacity/.test(JSON.stringify(body));
  return lacksCapacity || status === 400 ? [] : null;
}
