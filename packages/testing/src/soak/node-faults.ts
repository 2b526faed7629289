/** Faults of controllers and of the links between them. */
import type { Duration } from '@tealdock/wire';
import { LEADER_KILLS, type PlannedFault } from './fault-plan.js';
import type { FaultTimers } from './fault-timers.js';
import type { LoopbackSite } from './loopback-site.js';
import { NODES, type NodeName } from './site-times.js';

/** Time from the kill of a controller to its restart: about a second. */
const RESTART_DELAY_MS: Duration = 1200;
/** The same for a quick restart of the leader: a fraction of a second. */
const SHORT_RESTART_DELAY_MS: Duration = 120;

/** Kills, pauses and disconnects controllers. */
export class NodeFaults {
  constructor(
    private readonly site: LoopbackSite,
    private readonly timers: FaultTimers,
  ) {}

  /** Functions that inject a fault, by its kind. */
  injectors() {
    return {
      kill: ({ node }: PlannedFault) => this.killAndRestart(node),
      quick_leader_restart: ({ node }: PlannedFault) =>
        this.killAndRestart(this.leaderOrNode(node), SHORT_RESTART_DELAY_MS),
      kill_all: () => {
        for (const node of NODES) this.killAndRestart(node);
      },
      leader_kill_series: ({ node }: PlannedFault) => {
        for (let i = 0; i < LEADER_KILLS.count; i++) {
          this.timers.after(i * LEADER_KILLS.intervalMs, () =>
            this.killAndRestart(this.leaderOrNode(node)),
          );
        }
      },
      pause: ({ node, lasts }: PlannedFault) => this.pauseFor(node, lasts),
      pause_leader: ({ node, lasts }: PlannedFault) =>
        this.pauseFor(this.leaderOrNode(node), lasts),
      peer_links_stalled: ({ node, lasts }: PlannedFault) => this.stallPeerLinks(node, lasts),
      peer_links_reset: ({ node }: PlannedFault) => {
        for (const link of this.site.linksOf(node)) link.reset();
      },
    };
  }

  /** The current leader; the given node if there is none. */
  leaderOrNode(node: NodeName): NodeName {
    return this.site.leader() ?? node;
  }

  /** Kills a controller and starts it again after the delay. */
  killAndRestart(node: NodeName, restartDelay = RESTART_DELAY_MS): void {
    const process = this.site.processes.get(node);
    process?.kill();
    this.timers.after(restartDelay, () => process?.start());
  }

  private pauseFor(node: NodeName, duration: Duration): void {
    const process = this.site.processes.get(node);
    process?.pause();
    this.timers.after(duration, () => process?.resume());
  }

  /** Holds back what a controller and its peers send each other. */
  stallPeerLinks(node: NodeName, duration: Duration): void {
    const links = this.site.linksOf(node);
    for (const link of links) link.stall();
    this.timers.after(duration, () => {
      for (const link of links) link.resume();
    });
  }
}
