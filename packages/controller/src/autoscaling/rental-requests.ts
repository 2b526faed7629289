/** Requests for machines, each repeated under its name until the cloud has answered. */
import {
  MACHINES_PATH,
  parseRented,
  renderRent,
  type Instant,
  type MachineType,
} from '@tealdock/wire';
import { offerings, type Offering, type Place } from '@tealdock/scheduler';
import { PRIORITY, type CallResult } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { parseOrNull } from '../runtime/call-results.js';
import type { TermStatus } from '../term/term-view.js';
import { CLOUD_CALL_TIMEOUT_MS, type CloudCalls } from './cloud-calls.js';
import type { MachineInventory } from './machine-inventory.js';

/** A kind of machine that was refused is left alone for this long. */
const REFUSED_FOR = 15_000;
/** A request without an answer is sent again this long after its call has timed out. */
const REPEAT_AFTER_TIMEOUT = 1000;

/** A request for machines of one kind; its name makes it idempotent. */
interface ProvisioningRequest extends Place {
  request: string;
  count: number;
  requestedAt: Instant;
}

/** The same for machines of one type, zone and kind. */
export const placeKey = (p: Place): string => `${p.type} ${p.zone} ${p.spot}`;

/** Rents machines. One request of a kind is under way at a time. */
export class RentalRequests {
  readonly requests = new Map<string, ProvisioningRequest>();
  private readonly refused = new Map<string, Instant>();
  private lastRequest = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly term: TermStatus,
    private readonly types: () => MachineType[],
    private readonly cloud: CloudCalls,
    private readonly inventory: MachineInventory,
    /** Called once all requests are answered: what was not rented may be asked for elsewhere. */
    private readonly onAllAnswered: () => void,
  ) {}

  offers(): Offering[] {
    return offerings(this.types(), (p) => (this.refused.get(placeKey(p)) ?? 0) > this.runtime.now);
  }

  /** Whether anything can be rented at all just now. */
  rentable(): boolean {
    return this.offers().length > 0;
  }

  /** One request a kind at a time: its answer tells whether there is more. */
  asked(place: Place): boolean {
    return [...this.requests.values()].some((r) => placeKey(r) === placeKey(place));
  }

  ask({ type, zone, spot }: Place, count: number): void {
    const request = `${this.term.fencingToken}-${++this.lastRequest}`;
    this.requests.set(request, { request, type, zone, spot, count, requestedAt: this.runtime.now });
    this.askRental(request);
  }

  /** Without an answer the same name is asked for again, so nothing is rented twice. */
  repeatRentals(): void {
    const patience = CLOUD_CALL_TIMEOUT_MS + REPEAT_AFTER_TIMEOUT;
    for (const [request, { requestedAt: asked }] of this.requests) {
      if (this.runtime.now - asked > patience) this.askRental(request);
    }
  }

  private askRental(request: string): void {
    const rental = this.requests.get(request);
    if (!rental) return;
    rental.requestedAt = this.runtime.now;
    this.cloud.send('POST', MACHINES_PATH, renderRent(rental), PRIORITY.leader, (result) =>
      this.rented(rental, result),
    );
  }

  private rented(rental: ProvisioningRequest, result: CallResult): void {
    if (result.kind !== 'answer' || !this.requests.has(rental.request)) return;
    const { status } = result;
    const hosts = rentedHosts(result);
    if (hosts === null) return;
    this.requests.delete(rental.request);
    const { type, zone, spot } = rental;
    for (const id of hosts) {
      this.inventory.provisioning.set(id, { type, zone, spot, requestedAt: this.runtime.now });
    }
    if (hosts.length < rental.count) {
      this.refused.set(placeKey(rental), this.runtime.now + REFUSED_FOR);
    }
    if (this.requests.size === 0) this.runtime.after(0, () => this.onAllAnswered());
    this.runtime.log('info', { ...rental, hosts, status }, 'scale-out answered');
  }
}

/** The machines rented, none where the request was refused; null where it has to be repeated. */
function rentedHosts({ status, body }: Extract<CallResult, { kind: 'answer' }>): string[] | null {
  if (status === 200) return parseOrNull(() => parseRented(body));
  const noCapacity = status === 503 && /capacity/.test(JSON.stringify(body));
  return noCapacity || status === 400 ? [] : null;
}
