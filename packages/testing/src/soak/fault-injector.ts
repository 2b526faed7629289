/** Carries planned faults out on a site, and ends each of them. */
import type { Duration } from '@tealdock/wire';
import { LEADER_KILLS, TAKEOVER_ROUNDS, type FaultKind, type PlannedFault } from './fault-plan.js';
import type { LoopbackSite } from './loopback-site.js';
import { NODES, TIMES, type NodeName } from './site-times.js';
import type { MachineFaults } from './worker-host.js';

/** Processes are back after about a second, or within a fraction of one. */
const RESTART_DELAY_MS: Duration = 1200;
const SHORT_RESTART_DELAY_MS: Duration = 120;
/** How long the state service refuses the leader alone before it refuses everybody. */
const LEADER_REFUSED_MS: Duration = 1500;
/** An outage in short breaks is over this often, for so long. */
const OUTAGE_PAUSE_INTERVAL_MS: Duration = TIMES.lease - 1500;
const OUTAGE_PAUSE_MS: Duration = 400;
const SLOW_RESPONSE_MS: Duration = 900;
const LATE_RESPONSE_MS: Duration = 3000;
const AFFECTED_MACHINES_FRACTION = 0.4;
const TOKEN_POLL_INTERVAL_MS: Duration = 10;
/** For how long after an outage the leader's watches still get no answer. */
const WATCH_LAG_MS: Duration = 5000;

type Inject = (fault: PlannedFault) => void;

/** Injects faults. Their times are kept by timers, which `stop` clears. */
export class FaultInjector {
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly injectors: Record<FaultKind, Inject>;

  constructor(
    private readonly site: LoopbackSite,
    private readonly cancelSome: (count: number) => void,
  ) {
    this.injectors = { ...this.nodeFaults(), ...this.stateFaults(), ...this.machineFaults() };
  }

  start(plan: PlannedFault[]): void {
    for (const fault of plan) {
      this.after(fault.at, () => {
        this.injectors[fault.kind](fault);
        this.cancelSome(fault.cancels);
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

  private leaderOrNode(node: NodeName): NodeName {
    return this.site.leader() ?? node;
  }

  private killFor(node: NodeName, away: Duration): void {
    const process = this.site.processes.get(node);
    process?.kill();
    this.after(away, () => process?.start());
  }

  private pauseFor(node: NodeName, duration: Duration): void {
    const process = this.site.processes.get(node);
    process?.pause();
    this.after(duration, () => process?.resume());
  }

  private nodeFaults() {
    return {
      kill: ({ node }: PlannedFault) => this.killFor(node, RESTART_DELAY_MS),
      kill_and_back: ({ node }: PlannedFault) =>
        this.killFor(this.leaderOrNode(node), SHORT_RESTART_DELAY_MS),
      kill_all: () => {
        for (const node of NODES) this.killFor(node, RESTART_DELAY_MS);
      },
      leaders_in_series: ({ node }: PlannedFault) => {
        for (let i = 0; i < LEADER_KILLS.count; i++) {
          this.after(i * LEADER_KILLS.every, () =>
            this.killFor(this.leaderOrNode(node), RESTART_DELAY_MS),
          );
        }
      },
      pause: ({ node, lasts }: PlannedFault) => this.pauseFor(node, lasts),
      pause_leader: ({ node, lasts }: PlannedFault) =>
        this.pauseFor(this.leaderOrNode(node), lasts),
      peers_held: ({ node, lasts }: PlannedFault) => this.holdPeers(node, lasts),
      peers_reset: ({ node }: PlannedFault) => {
        for (const link of this.site.linksOf(node)) link.reset();
      },
    };
  }

  private holdPeers(node: NodeName, lasts: Duration): void {
    const links = this.site.linksOf(node);
    for (const link of links) link.hold();
    this.after(lasts, () => {
      for (const link of links) link.release();
    });
  }

  private stateFaults() {
    const { site } = this;
    return {
      state_refuses_leader_then_all: ({ node, lasts, dice }: PlannedFault) => {
        const leader = this.leaderOrNode(node);
        site.state.refusedNodes.add(leader);
        // In half of all runs the other controllers can't tell it anything either.
        if (dice < 0.5) this.holdPeers(leader, LEADER_REFUSED_MS + lasts);
        this.after(LEADER_REFUSED_MS, () => (site.state.down = true));
        site.setStateFaults(leader, { watchesCut: true });
        this.after(LEADER_REFUSED_MS + lasts, () => {
          site.state.refusedNodes.delete(leader);
          site.state.restore();
        });
        this.after(LEADER_REFUSED_MS + lasts + WATCH_LAG_MS, () =>
          site.setStateFaults(leader, { watchesCut: false }),
        );
      },
      state_out: ({ lasts }: PlannedFault) => this.outage(lasts),
      state_out_in_short_breaks: ({ lasts }: PlannedFault) => {
        for (let at = 0; at < lasts; at += OUTAGE_PAUSE_INTERVAL_MS) {
          this.after(at, () => this.outage(OUTAGE_PAUSE_INTERVAL_MS - OUTAGE_PAUSE_MS));
        }
      },
      state_cut: ({ node, lasts }: PlannedFault) =>
        this.faultState(node, lasts, { cut: true }, { cut: false }),
      state_watches_cut: ({ node, lasts }: PlannedFault) =>
        this.faultState(
          this.leaderOrNode(node),
          lasts,
          { watchesCut: true },
          { watchesCut: false },
        ),
      state_slow: ({ node, lasts }: PlannedFault) =>
        this.faultState(this.leaderOrNode(node), lasts, { delay: SLOW_RESPONSE_MS }, { delay: 0 }),
      state_answers_lost: ({ node, lasts }: PlannedFault) =>
        this.faultState(node, lasts, { answersLost: true }, { answersLost: false }),
      state_commits_late: ({ node, lasts }: PlannedFault) =>
        this.faultState(node, lasts, { commitsLate: LATE_RESPONSE_MS }, { commitsLate: 0 }),
    };
  }

  private outage(lasts: Duration): void {
    this.site.state.down = true;
    this.after(lasts, () => this.site.state.restore());
  }

  private faultState(
    node: NodeName,
    lasts: Duration,
    begin: Parameters<LoopbackSite['setStateFaults']>[1],
    end: Parameters<LoopbackSite['setStateFaults']>[1],
  ): void {
    this.site.setStateFaults(node, begin);
    this.after(lasts, () => this.site.setStateFaults(node, end));
  }

  private machineFaults() {
    return {
      machines_hang: (fault: PlannedFault) => this.hang(fault),
      machines_unheard: (fault: PlannedFault) =>
        this.faultMachines(fault, { heartbeatsLost: true }, { heartbeatsLost: false }),
      machines_hear_nothing: (fault: PlannedFault) =>
        this.faultMachines(
          fault,
          { responsesLost: true, commandsHeld: true },
          { responsesLost: false, commandsHeld: false },
        ),
      machines_cut_at_takeovers: (fault: PlannedFault) => this.cutAtTakeovers(fault),
      answers_late: (fault: PlannedFault) =>
        this.faultMachines(fault, { responseDelay: LATE_RESPONSE_MS }, { responseDelay: 0 }),
      machine_back_at_once: (fault: PlannedFault) => {
        const [first] = this.affectedMachines(fault);
        if (first !== undefined) this.site.workers.worker(first)?.reboot();
      },
      machine_taken: (fault: PlannedFault) => {
        const [first] = this.affectedMachines(fault);
        if (first === undefined) return;
        this.site.cloud.take(first);
        this.site.cloud.add('a');
      },
    };
  }

  /** Some machines that stand next to each other in the order of their names. */
  private affectedMachines({ dice }: PlannedFault): string[] {
    const names = this.site.workers.names;
    const from = Math.floor(dice * names.length);
    const count = Math.ceil(names.length * AFFECTED_MACHINES_FRACTION);
    return [...names, ...names].slice(from, from + count);
  }

  private hang(fault: PlannedFault): void {
    const workers = this.affectedMachines(fault).flatMap(
      (id) => this.site.workers.worker(id) ?? [],
    );
    for (const worker of workers) worker.isHung = true;
    this.after(fault.lasts, () => {
      for (const worker of workers) worker.isHung = false;
    });
  }

  private faultMachines(
    fault: PlannedFault,
    begin: Partial<MachineFaults>,
    end: Partial<MachineFaults>,
  ): void {
    const machines = this.affectedMachines(fault);
    for (const id of machines) this.site.workers.setFaults(id, begin);
    this.after(fault.lasts, () => {
      for (const id of machines) this.site.workers.setFaults(id, end);
    });
  }

  /** Machines are cut off through changes of leaders; each is back for one answer a time. */
  private cutAtTakeovers(fault: PlannedFault): void {
    const machines = this.affectedMachines(fault);
    for (let i = 0; i < TAKEOVER_ROUNDS.count; i++) {
      this.after(i * TAKEOVER_ROUNDS.every, () => {
        for (const id of machines) this.setCutOff(id, true);
        this.killFor(this.leaderOrNode(fault.node), RESTART_DELAY_MS);
      });
      this.after(i * TAKEOVER_ROUNDS.every + TAKEOVER_ROUNDS.away, () => {
        for (const id of machines) this.allowOneResponse(id);
      });
    }
    this.after(TAKEOVER_ROUNDS.count * TAKEOVER_ROUNDS.every, () => {
      for (const id of machines) this.setCutOff(id, false);
    });
  }

  private setCutOff(id: string, cut: boolean): void {
    this.site.workers.setFaults(id, { heartbeatsRefused: cut, commandsHeld: cut });
  }

  /** Until the machine has seen a higher token. */
  private allowOneResponse(id: string): void {
    const token = this.site.workers.worker(id)?.fencingToken ?? 0;
    this.setCutOff(id, false);
    const look = () => {
      const worker = this.site.workers.worker(id);
      if (worker && worker.fencingToken > token) this.setCutOff(id, true);
      else if (worker) this.after(TOKEN_POLL_INTERVAL_MS, look);
    };
    look();
  }
}
