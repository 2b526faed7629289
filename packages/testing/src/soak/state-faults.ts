/** Faults of the state service and of the calls to it. */
import type { Duration } from '@tealdock/wire';
import type { PlannedFault } from './fault-plan.js';
import type { FaultTimers } from './fault-timers.js';
import type { LoopbackSite } from './loopback-site.js';
import type { NodeFaults } from './node-faults.js';
import { SOAK_TIMES, type NodeName } from './site-times.js';

/** How long the state service refuses only the leader before it refuses all controllers. */
const LEADER_ONLY_REFUSED_MS: Duration = 1500;
/** Repeated outages start at this interval, shorter than a lease, with short breaks between. */
const REPEATED_OUTAGE_INTERVAL_MS: Duration = SOAK_TIMES.lease - 1500;
const OUTAGE_BREAK_MS: Duration = 400;
/** Delay of `state_slow`. */
const SLOW_RESPONSE_DELAY_MS: Duration = 900;
/** Delay of `state_commits_delayed`. */
const LATE_DELAY_MS: Duration = 3000;
/** How long after an outage the leader's watches still get no response. */
const WATCH_RECOVERY_DELAY_MS: Duration = 5000;

/** Stops, slows and disturbs the state service. */
export class StateFaults {
  constructor(
    private readonly site: LoopbackSite,
    private readonly timers: FaultTimers,
    private readonly nodes: NodeFaults,
  ) {}

  /** Functions that inject a fault, by its kind. */
  injectors() {
    const { site } = this;
    return {
      state_refuses_leader_then_all: ({ node, lasts, dice }: PlannedFault) => {
        const leader = this.nodes.leaderOrNode(node);
        site.state.refusedNodes.add(leader);
        // In half of the cases the other controllers can't reach the leader either.
        if (dice < 0.5) this.nodes.stallPeerLinks(leader, LEADER_ONLY_REFUSED_MS + lasts);
        this.timers.after(LEADER_ONLY_REFUSED_MS, () => (site.state.down = true));
        site.setStateFaults(leader, { watchesDropped: true });
        this.timers.after(LEADER_ONLY_REFUSED_MS + lasts, () => {
          site.state.refusedNodes.delete(leader);
          site.state.restore();
        });
        this.timers.after(LEADER_ONLY_REFUSED_MS + lasts + WATCH_RECOVERY_DELAY_MS, () =>
          site.setStateFaults(leader, { watchesDropped: false }),
        );
      },
      state_outage: ({ lasts }: PlannedFault) => this.beginOutage(lasts),
      state_repeated_outages: ({ lasts }: PlannedFault) => {
        for (let at = 0; at < lasts; at += REPEATED_OUTAGE_INTERVAL_MS) {
          this.timers.after(at, () =>
            this.beginOutage(REPEATED_OUTAGE_INTERVAL_MS - OUTAGE_BREAK_MS),
          );
        }
      },
      state_calls_dropped: ({ node, lasts }: PlannedFault) =>
        this.injectStateFault(node, lasts, { callsDropped: true }, { callsDropped: false }),
      state_watches_dropped: ({ node, lasts }: PlannedFault) =>
        this.injectStateFault(
          this.nodes.leaderOrNode(node),
          lasts,
          { watchesDropped: true },
          { watchesDropped: false },
        ),
      state_slow: ({ node, lasts }: PlannedFault) =>
        this.injectStateFault(
          this.nodes.leaderOrNode(node),
          lasts,
          { responseDelay: SLOW_RESPONSE_DELAY_MS },
          { responseDelay: 0 },
        ),
      state_responses_lost: ({ node, lasts }: PlannedFault) =>
        this.injectStateFault(node, lasts, { responsesLost: true }, { responsesLost: false }),
      state_commits_delayed: ({ node, lasts }: PlannedFault) =>
        this.injectStateFault(node, lasts, { commitDelay: LATE_DELAY_MS }, { commitDelay: 0 }),
    };
  }

  private beginOutage(duration: Duration): void {
    this.site.state.down = true;
    this.timers.after(duration, () => this.site.state.restore());
  }

  private injectStateFault(
    node: NodeName,
    duration: Duration,
    begin: Parameters<LoopbackSite['setStateFaults']>[1],
    end: Parameters<LoopbackSite['setStateFaults']>[1],
  ): void {
    this.site.setStateFaults(node, begin);
    this.timers.after(duration, () => this.site.setStateFaults(node, end));
  }
}
