/** The machines that the cloud lists, and which of them the operator owns. */
import {
  machinePagePath,
  parseMachinePage,
  type Instant,
  type ListedMachine,
  type OperatorSettings,
} from '@tealdock/wire';
import type { MachinePool } from '@tealdock/scheduler';
import type { Leadership } from '../leadership/leadership.js';
import { parseResponse } from '../runtime/call-results.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { OWNED_KEY } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { readOwned } from '../state/stored-values.js';
import type { Term } from '../term/term.js';
import type { CloudCalls } from './cloud-calls.js';

const LIST_INTERVAL_MS = 5000;
const STATE_READ_RETRY_MS = 1000;
/** Safety factor for the lag of the machine list that the settings name. */
const LIST_LAG_FACTOR = 2;

/** `frugal`: low cost has precedence. `fast`: early starts have precedence. */
export type ScalingPolicy = Exclude<OperatorSettings['fleet']['policy'], 'auto'>;

/** A machine that was rented, or is listed as booting, and has not sent a heartbeat yet. */
export interface ProvisioningMachine extends MachinePool {
  requestedAt: Instant;
}

/**
 * Keeps the newest machine list, which may lag behind the actual machines, and the machines that
 * are being provisioned.
 */
export class MachineInventory {
  /** By machine id. */
  readonly provisioning = new Map<string, ProvisioningMachine>();
  private listed = new Map<string, ListedMachine>();
  /** When the newest complete list was requested; null before the first. */
  private completeListRequestedAt: Instant | null = null;
  /**
   * The highest id, in string order, of all machines that were there before the first rental.
   * Null while unknown; '' if there were none.
   */
  private lastOwnedId: string | null = null;
  private lastListRequestAt: Instant = -Infinity;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    private readonly term: Term,
    private readonly cloud: CloudCalls,
  ) {}

  /** Starts to read which machines are owned. */
  start(): void {
    this.loadLastOwnedId();
  }

  /** As the operator set it; for `auto`, `fast` if any machines are owned, else `frugal`. */
  get policy(): ScalingPolicy {
    const { policy } = this.runtime.operator.fleet;
    if (policy !== 'auto') return policy;
    return this.lastOwnedId ? 'fast' : 'frugal';
  }

  /** Whether it is known which machines are owned. Until then, nothing is rented. */
  get isOwnershipKnown(): boolean {
    return this.lastOwnedId !== null;
  }

  /** Whether the operator owns the machine: it was there before the first rental. */
  isOwned(id: string): boolean {
    return !!this.lastOwnedId && id <= this.lastOwnedId;
  }

  /** The newest machine list, by id. */
  get listedMachines(): ReadonlyMap<string, ListedMachine> {
    return this.listed;
  }

  /** The list should include machines first observed before this; null before the first list. */
  get listCompleteUntil(): Instant | null {
    if (this.completeListRequestedAt === null) return null;
    return this.completeListRequestedAt - this.maxListLag;
  }

  /** Removes a machine that has been returned. */
  remove(id: string): void {
    this.provisioning.delete(id);
    this.listed.delete(id);
  }

  /** Requests the list. Once all machines are reconciled, only every `LIST_INTERVAL_MS`. */
  refreshList(): void {
    const { now } = this.runtime;
    const isRecent = now - this.lastListRequestAt < LIST_INTERVAL_MS;
    if (isRecent && this.term.stateLoaded && this.term.allMachinesReconciled) return;
    this.lastListRequestAt = now;
    this.requestPage('', new Map(), now);
  }

  private get maxListLag(): number {
    return this.runtime.settings.cloud.listLag * LIST_LAG_FACTOR;
  }

  private requestPage(
    after: string,
    machines: Map<string, ListedMachine>,
    requestedAt: Instant,
  ): void {
    const path = machinePagePath(after);
    const call = { method: 'GET', path, body: null, priority: PRIORITY.leader };
    this.cloud.send(call, (result) => {
      const page = parseResponse(result, parseMachinePage);
      if (!page) return;
      for (const machine of page.machines) machines.set(machine.id, machine);
      const last = page.machines.at(-1);
      if (page.more && last) return this.requestPage(last.id, machines, requestedAt);
      this.listed = machines;
      this.completeListRequestedAt = requestedAt;
      this.storeLastOwnedId();
      this.addListedProvisioning();
      this.removeEndedProvisioning(requestedAt - this.maxListLag);
    });
  }

  private addListedProvisioning(): void {
    for (const [id, { type, zone, spot, state, age }] of this.listed) {
      if (state !== 'booting' || this.term.machines.has(id) || this.provisioning.has(id)) continue;
      this.provisioning.set(id, { type, zone, spot, requestedAt: this.runtime.now - age });
    }
  }

  /** Removes machines that have sent a heartbeat, or that the list should include but lacks. */
  private removeEndedProvisioning(listCompleteUntil: Instant): void {
    for (const [id, machine] of this.provisioning) {
      const mustBeListed = listCompleteUntil > machine.requestedAt + this.maxListLag;
      const isGone = mustBeListed && !this.listed.has(id);
      if (this.term.machines.has(id) || isGone) this.provisioning.delete(id);
    }
  }

  private loadLastOwnedId(): void {
    if (this.term.closed) return;
    this.state.getValue(OWNED_KEY, readOwned, PRIORITY.leader, (result) => {
      if (result.kind === 'failed')
        return this.runtime.after(STATE_READ_RETRY_MS, () => this.loadLastOwnedId());
      if (result.kind === 'found') this.lastOwnedId = result.value.last;
    });
  }

  /** Before the first rental, all machines known are owned: stores the highest id, once. */
  private storeLastOwnedId(): void {
    if (this.lastOwnedId !== null) return;
    const last = [...this.listed.keys(), ...this.term.machines.keys()].sort().at(-1) ?? '';
    const preconditions = [this.leadership.leaderPrecondition(), { key: OWNED_KEY, version: 0 }];
    const write = { put: OWNED_KEY, value: { last } };
    this.state.compareAndSwap(preconditions, [write], PRIORITY.leader, (result) => {
      if (result.kind === 'ok') this.lastOwnedId = last;
      else this.loadLastOwnedId();
    });
  }
}
