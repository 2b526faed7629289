/** Injects planned faults into a site and ends them. */
import type { Duration } from '@tealdock/wire';
import { LEADER_KILLS, TAKEOVER_ROUNDS, type FaultKind, type PlannedFault } from './fault-plan.js';
import type { LoopbackSite } from './loopback-site.js';
import { NODES, SOAK_TIMES, type NodeName } from './site-times.js';
import type { MachineFaults } from './worker-host.js';

/** Time from the kill of a controller to its restart: about a second. */
const RESTART_DELAY_MS: Duration = 1200;
/** The same for a quick restart of the leader: a fraction of a second. */
const SHORT_RESTART_DELAY_MS: Duration = 120;
/** How long the state service refuses only the leader before it refuses all controllers. */
const LEADER_ONLY_REFUSED_MS: Duration = 1500;
/** Repeated outages start at this interval, shorter than a lease, with short breaks between. */
const REPEATED_OUTAGE_INTERVAL_MS: Duration = SOAK_TIMES.lease - 1500;
const OUTAGE_BREAK_MS: Duration = 400;
/** Delay of `state_slow`. */
const SLOW_RESPONSE_DELAY_MS: Duration = 900;
/** Delay of `state_commits_delayed` and `heartbeat_responses_delayed`. */
const LATE_DELAY_MS: Duration = 3000;
const AFFECTED_MACHINES_FRACTION = 0.4;
const TOKEN_POLL_INTERVAL_MS: Duration = 10;
/** How long after an outage the leader's watches still get no response. */
const WATCH_RECOVERY_DELAY_MS: Duration = 5000;

type InjectFault = (fault: PlannedFault) => void;

/** Injects the faults of a plan. Timers begin and end each fault; `stop` clears them. */
export class FaultInjector {
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly injectors: Record<FaultKind, InjectFault>;

  constructor(
    private readonly site: LoopbackSite,
    private readonly cancelRunningJobs: (count: number) => void,
  ) {
    this.injectors = {
      ...this.nodeInjectors(),
      ...this.stateInjectors(),
      ...this.machineInjectors(),
    };
  }

  start(plan: PlannedFault[]): void {
    for (const fault of plan) {
      this.after(fault.at, () => {
        this.injectors[fault.kind](fault);
        this.cancelRunningJobs(fault.cancels);
      });
    }
  }

  stop(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }

  private after(delay: Duration, run: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      run();
    }, delay);
    this.timers.add(timer);
  }

  /** The current leader; the given node if there is none. */
  private leaderOrNode(node: NodeName): NodeName {
    return this.site.leader() ?? node;
  }

  private killAndRestart(node: NodeName, restartDelay: Duration): void {
    const process = this.site.processes.get(node);
    process?.kill();
    this.after(restartDelay, () => process?.start());
  }

  private pauseFor(node: NodeName, duration: Duration): void {
    const process = this.site.processes.get(node);
    process?.pause();
    this.after(duration, () => process?.resume());
  }

  private nodeInjectors() {
    return {
      kill: ({ node }: PlannedFault) => this.killAndRestart(node, RESTART_DELAY_MS),
      quick_leader_restart: ({ node }: PlannedFault) =>
        this.killAndRestart(this.leaderOrNode(node), SHORT_RESTART_DELAY_MS),
      kill_all: () => {
        for (const node of NODES) this.killAndRestart(node, RESTART_DELAY_MS);
      },
      leader_kill_series: ({ node }: PlannedFault) => {
        for (let i = 0; i < LEADER_KILLS.count; i++) {
          this.after(i * LEADER_KILLS.intervalMs, () =>
            this.killAndRestart(this.leaderOrNode(node), RESTART_DELAY_MS),
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

  private stallPeerLinks(node: NodeName, duration: Duration): void {
    const links = this.site.linksOf(node);
    for (const link of links) link.stall();
    this.after(duration, () => {
      for (const link of links) link.resume();
    });
  }

  private stateInjectors() {
    const { site } = this;
    return {
      state_refuses_leader_then_all: ({ node, lasts, dice }: PlannedFault) => {
        const leader = this.leaderOrNode(node);
        site.state.refusedNodes.add(leader);
        // In half of the cases the other controllers can't reach the leader either.
        if (dice < 0.5) this.stallPeerLinks(leader, LEADER_ONLY_REFUSED_MS + lasts);
        this.after(LEADER_ONLY_REFUSED_MS, () => (site.state.down = true));
        site.setStateFaults(leader, { watchesDropped: true });
        this.after(LEADER_ONLY_REFUSED_MS + lasts, () => {
          site.state.refusedNodes.delete(leader);
          site.state.restore();
        });
        this.after(LEADER_ONLY_REFUSED_MS + lasts + WATCH_RECOVERY_DELAY_MS, () =>
          site.setStateFaults(leader, { watchesDropped: false }),
        );
      },
      state_outage: ({ lasts }: PlannedFault) => this.beginOutage(lasts),
      state_repeated_outages: ({ lasts }: PlannedFault) => {
        for (let at = 0; at < lasts; at += REPEATED_OUTAGE_INTERVAL_MS) {
          this.after(at, () => this.beginOutage(REPEATED_OUTAGE_INTERVAL_MS - OUTAGE_BREAK_MS));
        }
      },
      state_calls_dropped: ({ node, lasts }: PlannedFault) =>
        this.injectStateFault(node, lasts, { callsDropped: true }, { callsDropped: false }),
      state_watches_dropped: ({ node, lasts }: PlannedFault) =>
        this.injectStateFault(
          this.leaderOrNode(node),
          lasts,
          { watchesDropped: true },
          { watchesDropped: false },
        ),
      state_slow: ({ node, lasts }: PlannedFault) =>
        this.injectStateFault(
          this.leaderOrNode(node),
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
    this.after(duration, () => this.site.state.restore());
  }

  private injectStateFault(
    node: NodeName,
    duration: Duration,
    begin: Parameters<LoopbackSite['setStateFaults']>[1],
    end: Parameters<LoopbackSite['setStateFaults']>[1],
  ): void {
    this.site.setStateFaults(node, begin);
    this.after(duration, () => this.site.setStateFaults(node, end));
  }

  private machineInjectors() {
    return {
      machines_hang: (fault: PlannedFault) => this.hangMachines(fault),
      machine_heartbeats_lost: (fault: PlannedFault) =>
        this.injectMachineFault(fault, { heartbeatsLost: true }, { heartbeatsLost: false }),
      machine_inbound_blocked: (fault: PlannedFault) =>
        this.injectMachineFault(
          fault,
          { responsesLost: true, commandsHeld: true },
          { responsesLost: false, commandsHeld: false },
        ),
      machines_isolated_at_takeovers: (fault: PlannedFault) => this.isolateAtTakeovers(fault),
      heartbeat_responses_delayed: (fault: PlannedFault) =>
        this.injectMachineFault(fault, { responseDelay: LATE_DELAY_MS }, { responseDelay: 0 }),
      machine_quick_reboot: (fault: PlannedFault) => {
        const [first] = this.affectedMachineIds(fault);
        if (first !== undefined) this.site.workers.worker(first)?.reboot();
      },
      machine_replaced: (fault: PlannedFault) => {
        const [first] = this.affectedMachineIds(fault);
        if (first === undefined) return;
        this.site.cloud.removeMachine(first);
        this.site.cloud.addMachine('a');
      },
    };
  }

  /** A contiguous part of the list of machines, which wraps around at its end. */
  private affectedMachineIds({ dice }: PlannedFault): string[] {
    const ids = this.site.workers.machineIds;
    const from = Math.floor(dice * ids.length);
    const count = Math.ceil(ids.length * AFFECTED_MACHINES_FRACTION);
    return [...ids, ...ids].slice(from, from + count);
  }

  private hangMachines(fault: PlannedFault): void {
    const workers = this.affectedMachineIds(fault).flatMap(
      (id) => this.site.workers.worker(id) ?? [],
    );
    for (const worker of workers) worker.isHung = true;
    this.after(fault.lasts, () => {
      for (const worker of workers) worker.isHung = false;
    });
  }

  private injectMachineFault(
    fault: PlannedFault,
    begin: Partial<MachineFaults>,
    end: Partial<MachineFaults>,
  ): void {
    const machines = this.affectedMachineIds(fault);
    for (const id of machines) this.site.workers.setFaults(id, begin);
    this.after(fault.lasts, () => {
      for (const id of machines) this.site.workers.setFaults(id, end);
    });
  }

  /** Isolates machines across several takeovers; in each round they get one heartbeat response. */
  private isolateAtTakeovers(fault: PlannedFault): void {
    const machines = this.affectedMachineIds(fault);
    for (let i = 0; i < TAKEOVER_ROUNDS.count; i++) {
      this.after(i * TAKEOVER_ROUNDS.intervalMs, () => {
        for (const id of machines) this.setIsolated(id, true);
        this.killAndRestart(this.leaderOrNode(fault.node), RESTART_DELAY_MS);
      });
      this.after(i * TAKEOVER_ROUNDS.intervalMs + TAKEOVER_ROUNDS.isolatedMs, () => {
        for (const id of machines) this.allowOneResponse(id);
      });
    }
    this.after(TAKEOVER_ROUNDS.count * TAKEOVER_ROUNDS.intervalMs, () => {
      for (const id of machines) this.setIsolated(id, false);
    });
  }

  private setIsolated(id: string, isolated: boolean): void {
    this.site.workers.setFaults(id, { heartbeatsRefused: isolated, commandsHeld: isolated });
  }

  /** Ends the isolation of a machine until it has received a higher fencing token. */
  private allowOneResponse(id: string): void {
    const token = this.site.workers.worker(id)?.fencingToken ?? 0;
    this.setIsolated(id, false);
    const poll = () => {
      const worker = this.site.workers.worker(id);
      if (worker && worker.fencingToken > token) this.setIsolated(id, true);
      else if (worker) this.after(TOKEN_POLL_INTERVAL_MS, poll);
    };
    poll();
  }
}
