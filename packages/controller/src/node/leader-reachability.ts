/** Makes a leader resign if no worker can reach it. */
import type { Leadership } from '../leadership/leadership.js';
import type { LeaderContext } from '../requests/leader-heartbeats.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';

const CHECK_INTERVAL_MS = 1000;
/** Time after its election in which a leader does not resign for lack of heartbeats. */
const FIRST_HEARTBEATS_GRACE_MS = 12_000;
/** With fewer machines, the machine rather than the leader may be the one that is cut off. */
const MIN_MACHINE_COUNT = 2;

/** Makes this node resign while it leads but receives no heartbeats, so that another can lead. */
export class LeaderReachability {
  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly leadership: Leadership,
    private readonly leader: Pick<LeaderContext, 'term'>,
  ) {}

  /** Starts the periodic check; it has no effect while this node does not lead. */
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
