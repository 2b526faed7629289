/** What machines there are by the word of the cloud, and which of them the operator owns. */
import { listPath, parseList, type Instant, type ListedMachine } from '@tealdock/wire';
import type { Place } from '@tealdock/scheduler';
import type { Leadership } from '../leadership/leadership.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { parseResponse } from '../runtime/call-results.js';
import { OWNED_KEY } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { readOwned } from '../state/stored-values.js';
import type { Term } from '../term/term.js';
import type { CloudCalls } from './cloud-calls.js';

const LIST_EVERY = 5000;
const RETRY = 1000;

/** A machine that was rented, or is listed, and has not reported yet. */
export interface Provisioning extends Place {
  /** When it was asked for. */
  requestedAt: Instant;
}

/** Keeps the newest machine list, which lags, and the machines that are on their way. */
export class MachineInventory {
  readonly provisioning = new Map<string, Provisioning>();
  /** The newest machine list. */
  listed = new Map<string, ListedMachine>();
  /** When that list was asked for. */
  listAsked: Instant | null = null;
  /** Last machine that was there before the first rental; null while unknown, '' if none was. */
  owned: string | null = null;
  private listBegun: Instant | null = null;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    private readonly term: Term,
    private readonly cloud: CloudCalls,
  ) {}

  start(): void {
    this.readOwned();
  }

  policy(): 'frugal' | 'fast' {
    const set = this.runtime.operator.fleet.policy;
    if (set !== 'auto') return set;
    return this.owned !== null && this.owned !== '' ? 'fast' : 'frugal';
  }

  /** Machines that were there before the first rental are the operator's own. */
  isOwned(id: string): boolean {
    return this.owned !== null && this.owned !== '' && id <= this.owned;
  }

  private readOwned(): void {
    if (this.term.closed) return;
    this.state.getValue(OWNED_KEY, readOwned, PRIORITY.leader, (got) => {
      if (got.kind === 'failed') return this.runtime.after(RETRY, () => this.readOwned());
      if (got.kind === 'found') this.owned = got.value.last;
    });
  }

  private noteOwned(machines: ListedMachine[]): void {
    if (this.owned !== null) return;
    const heard = [...this.term.machines.keys()];
    const last = [...machines.map((m) => m.id), ...heard].sort().at(-1) ?? '';
    const guards = [this.leadership.leaderPrecondition(), { key: OWNED_KEY, version: 0 }];
    const write = { put: OWNED_KEY, value: { last } };
    this.state.compareAndSwap(guards, [write], PRIORITY.leader, (committed) => {
      if (committed.kind === 'ok') this.owned = last;
      else this.readOwned();
    });
  }

  refreshList(): void {
    const fresh = this.runtime.now - (this.listBegun ?? -Infinity) < LIST_EVERY;
    if (fresh && this.term.stateLoaded && this.term.allMachinesReconciled) return;
    this.listBegun = this.runtime.now;
    this.list('', new Map(), this.runtime.now);
  }

  private list(after: string, found: Map<string, ListedMachine>, asked: Instant): void {
    this.cloud.send('GET', listPath(after), null, PRIORITY.leader, (result) => {
      const page = parseResponse(result, parseList);
      if (!page) return;
      for (const m of page.machines) found.set(m.id, m);
      const last = page.machines.at(-1);
      if (page.more && last) return this.list(last.id, found, asked);
      this.listed = found;
      this.listAsked = asked;
      this.noteOwned([...found.values()]);
      this.seeList(asked);
    });
  }

  private seeList(asked: Instant): void {
    for (const [id, machine] of this.listed) {
      const known = this.term.machines.has(id);
      if (machine.state === 'booting' && !known && !this.provisioning.has(id)) {
        this.provisioning.set(id, {
          type: machine.type,
          zone: machine.zone,
          spot: machine.spot,
          requestedAt: this.runtime.now - machine.age,
        });
      }
    }
    // Taken before it ever reported: no longer listed, nor coming.
    const lag = this.runtime.settings.cloud.listLag * 2;
    for (const [id, machine] of this.provisioning) {
      const old = asked - lag > machine.requestedAt + lag;
      if (this.term.machines.has(id) || (old && !this.listed.has(id))) this.provisioning.delete(id);
    }
  }
}
