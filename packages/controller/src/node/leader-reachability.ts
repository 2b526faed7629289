/** Resignation of a leader that no worker reaches. */
import type { Leadership } from '../leadership/leadership.js';
import type { LeaderContext } from '../requests/leader-heartbeats.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';

const CHECK_INTERVAL_MS = 1000;
/** A term gets this long to receive its first heartbeats. */
const FIRST_HEARTBEATS_GRACE_MS = 12_000;
/** A single silent machine may itself be the one that is cut off. */
const MIN_MACHINE_COUNT = 2;

/** Has a leader resign in favour of a node that workers may reach. */
export class LeaderReachability {
  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    private readonly leader: Pick<LeaderContext, 'term'>,
  ) {}

  /** Checks from now on, whenever this node leads. */
  start(): void {
    this.runtime.every(CHECK_INTERVAL_MS, () => {
      if (this.isUnreachable()) this.leadership.resign('no heartbeats arrive');
      return true;
    });
  }

  private isUnreachable(): boolean {
    const { term } = this.leader;
    if (!term?.stateLoaded || !this.leadership.validLease() || this.state.lastCallFailed) {
      return false;
    }
    const { now, operator } = this.runtime;
    if (now - term.electedAt < FIRST_HEARTBEATS_GRACE_MS) return false;
    if (term.machines.size < MIN_MACHINE_COUNT) return false;
    return now - term.lastHeartbeatAt >= operator.leadership.unreachableTimeout;
  }
}
