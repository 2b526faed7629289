/** Machine types that the cloud offers. */
import { CATALOG_PATH, parseCatalog, type MachineType } from '@tealdock/wire';
import { readMachineType } from '../state/stored-values.js';
import { CATALOG_PREFIX, typeKey } from '../state/keys.js';
import type { Leadership } from '../leadership/leadership.js';
import { parseResponse } from '../runtime/call-results.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';

const REFRESH = 30_000;
const RETRY = 2000;
const TIMEOUT = 2500;

/**
 * Machine types as the cloud last told them. The leader keeps them in the state
 * service, so that a cloud outage at start does not stop acceptance.
 */
export class Catalog {
  types: MachineType[] = [];
  private stored = '';

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
  ) {}

  get known(): boolean {
    return this.types.length > 0;
  }

  start(): void {
    this.readStored();
    this.refresh();
  }

  private refresh(): void {
    const call = {
      target: 'cloud' as const,
      to: '',
      method: 'GET',
      path: CATALOG_PATH,
      body: null,
    };
    this.runtime.call(
      { ...call, priority: PRIORITY.background, writes: 0, timeout: TIMEOUT },
      (result) => {
        const types = parseResponse(result, parseCatalog);
        if (types && types.length > 0) this.take(types);
        this.runtime.after(types ? REFRESH : RETRY, () => this.refresh());
      },
    );
  }

  private take(types: MachineType[]): void {
    this.types = types;
    if (!this.leadership.validLease()) return;
    // Prices move all the time; only a change of what is offered is kept.
    const shape = types.map((t) => `${t.name}:${t.cpus}:${t.memoryGb}:${t.zones.join()}`).join();
    if (shape === this.stored) return;
    const most = this.runtime.settings.state.maxTransactionWrites;
    const writes = types.slice(0, most).map((t) => ({ put: typeKey(t.name), value: t }));
    this.state.compareAndSwap(
      [this.leadership.leaderPrecondition()],
      writes,
      PRIORITY.background,
      (committed) => {
        if (committed.kind === 'ok') this.stored = shape;
      },
    );
  }

  private readStored(): void {
    this.state.readAll(CATALOG_PREFIX, PRIORITY.leader, (all) => {
      if (this.known) return;
      if (all.kind === 'failed' || all.items.length === 0)
        return this.runtime.after(RETRY, () => this.readStored());
      this.types = all.items.flatMap((item) => this.state.decode(item, readMachineType) ?? []);
    });
  }
}
