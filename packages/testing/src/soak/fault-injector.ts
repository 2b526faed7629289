/** Carries planned faults out on a site, and ends each of them. */
import type { Duration } from '@tealdock/wire';
import { SERIES, TAKEOVERS, type FaultKind, type PlannedFault } from './fault-plan.js';
import type { LoopbackSite } from './loopback-site.js';
import { NODES, TIMES, type NodeName } from './site-times.js';
import type { MachineFaults } from './worker-host.js';

/** Processes are back after about a second, or within a fraction of one. */
const AWAY: Duration = 1200;
const AWAY_BRIEFLY: Duration = 120;
/** How long the state service refuses the leader alone before it refuses everybody. */
const ALONE: Duration = 1500;
/** An outage in short breaks is over this often, for so long. */
const BREAK_EVERY: Duration = TIMES.lease - 1500;
const BREAK: Duration = 400;
const SLOW: Duration = 900;
const LATE: Duration = 3000;
const STRUCK_PART = 0.4;
const LOOK_EVERY: Duration = 10;
/** For how long after an outage the leader's watches still get no answer. */
const WATCH_LAG: Duration = 5000;

type Inject = (fault: PlannedFault) => void;

/** Injects faults. Their times are kept by timers, which `stop` clears. */
export class FaultInjector {
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly kinds: Record<FaultKind, Inject>;

  constructor(
    private readonly site: LoopbackSite,
    private readonly cancelSome: (count: number) => void,
  ) {
    this.kinds = { ...this.nodeFaults(), ...this.stateFaults(), ...this.machineFaults() };
  }

  start(plan: PlannedFault[]): void {
    for (const fault of plan) {
      this.later(fault.at, () => {
        this.kinds[fault.kind](fault);
        this.cancelSome(fault.cancels);
      });
    }
  }

  stop(): void {
    for (const timer of this.timers) clearTimeout(timer);
    this.timers.clear();
  }

  private later(delay: Duration, run: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      run();
    }, delay);
    this.timers.add(timer);
  }

  private leaderOr(node: NodeName): NodeName {
    return this.site.leader() ?? node;
  }

  private killFor(node: NodeName, away: Duration): void {
    const process = this.site.processes.get(node);
    process?.kill();
    this.later(away, () => process?.start());
  }

  private pauseFor(node: NodeName, duration: Duration): void {
    const process = this.site.processes.get(node);
    process?.pause();
    this.later(duration, () => process?.resume());
  }

  // --- controllers ---------------------------------------------------------------

  private nodeFaults() {
    return {
      kill: ({ node }: PlannedFault) => this.killFor(node, AWAY),
      kill_and_back: ({ node }: PlannedFault) => this.killFor(this.leaderOr(node), AWAY_BRIEFLY),
      kill_all: () => {
        for (const node of NODES) this.killFor(node, AWAY);
      },
      leaders_in_series: ({ node }: PlannedFault) => {
        for (let i = 0; i < SERIES.count; i++) {
          this.later(i * SERIES.every, () => this.killFor(this.leaderOr(node), AWAY));
        }
      },
      pause: ({ node, lasts }: PlannedFault) => this.pauseFor(node, lasts),
      pause_leader: ({ node, lasts }: PlannedFault) => this.pauseFor(this.leaderOr(node), lasts),
      peers_held: ({ node, lasts }: PlannedFault) => this.holdPeers(node, lasts),
      peers_reset: ({ node }: PlannedFault) => {
        for (const link of this.site.linksOf(node)) link.reset();
      },
    };
  }

  private holdPeers(node: NodeName, lasts: Duration): void {
    const links = this.site.linksOf(node);
    for (const link of links) link.hold();
    this.later(lasts, () => {
      for (const link of links) link.release();
    });
  }

  // --- the state service -----------------------------------------------------------

  private stateFaults() {
    const { site } = this;
    return {
      state_refuses_leader_then_all: ({ node, lasts, dice }: PlannedFault) => {
        const leader = this.leaderOr(node);
        site.state.refusedNodes.add(leader);
        // In half of all runs the other controllers can't tell it anything either.
        if (dice < 0.5) this.holdPeers(leader, ALONE + lasts);
        this.later(ALONE, () => (site.state.down = true));
        site.faultState(leader, { watchesCut: true });
        this.later(ALONE + lasts, () => {
          site.state.refusedNodes.delete(leader);
          site.state.restore();
        });
        this.later(ALONE + lasts + WATCH_LAG, () => site.faultState(leader, { watchesCut: false }));
      },
      state_out: ({ lasts }: PlannedFault) => this.outage(lasts),
      state_out_in_short_breaks: ({ lasts }: PlannedFault) => {
        for (let at = 0; at < lasts; at += BREAK_EVERY) {
          this.later(at, () => this.outage(BREAK_EVERY - BREAK));
        }
      },
      state_cut: ({ node, lasts }: PlannedFault) =>
        this.faultState(node, lasts, { cut: true }, { cut: false }),
      state_watches_cut: ({ node, lasts }: PlannedFault) =>
        this.faultState(this.leaderOr(node), lasts, { watchesCut: true }, { watchesCut: false }),
      state_slow: ({ node, lasts }: PlannedFault) =>
        this.faultState(this.leaderOr(node), lasts, { delay: SLOW }, { delay: 0 }),
      state_answers_lost: ({ node, lasts }: PlannedFault) =>
        this.faultState(node, lasts, { answersLost: true }, { answersLost: false }),
      state_commits_late: ({ node, lasts }: PlannedFault) =>
        this.faultState(node, lasts, { commitsLate: LATE }, { commitsLate: 0 }),
    };
  }

  private outage(lasts: Duration): void {
    this.site.state.down = true;
    this.later(lasts, () => this.site.state.restore());
  }

  private faultState(
    node: NodeName,
    lasts: Duration,
    begin: Parameters<LoopbackSite['faultState']>[1],
    end: Parameters<LoopbackSite['faultState']>[1],
  ): void {
    this.site.faultState(node, begin);
    this.later(lasts, () => this.site.faultState(node, end));
  }

  // --- machines --------------------------------------------------------------------

  private machineFaults() {
    return {
      machines_hang: (fault: PlannedFault) => this.hang(fault),
      machines_unheard: (fault: PlannedFault) =>
        this.faultMachines(fault, { reportsLost: true }, { reportsLost: false }),
      machines_hear_nothing: (fault: PlannedFault) =>
        this.faultMachines(
          fault,
          { answersLost: true, commandsHeld: true },
          { answersLost: false, commandsHeld: false },
        ),
      machines_cut_at_takeovers: (fault: PlannedFault) => this.cutAtTakeovers(fault),
      answers_late: (fault: PlannedFault) =>
        this.faultMachines(fault, { answerDelay: LATE }, { answerDelay: 0 }),
      machine_back_at_once: (fault: PlannedFault) => {
        const [first] = this.struck(fault);
        if (first !== undefined) this.site.workers.worker(first)?.reboot();
      },
      machine_taken: (fault: PlannedFault) => {
        const [first] = this.struck(fault);
        if (first === undefined) return;
        this.site.cloud.take(first);
        this.site.cloud.add('a');
      },
    };
  }

  /** Some machines that stand next to each other in the order of their names. */
  private struck({ dice }: PlannedFault): string[] {
    const names = this.site.workers.names;
    const from = Math.floor(dice * names.length);
    const count = Math.ceil(names.length * STRUCK_PART);
    return [...names, ...names].slice(from, from + count);
  }

  private hang(fault: PlannedFault): void {
    const workers = this.struck(fault).flatMap((id) => this.site.workers.worker(id) ?? []);
    for (const worker of workers) worker.isHung = true;
    this.later(fault.lasts, () => {
      for (const worker of workers) worker.isHung = false;
    });
  }

  private faultMachines(
    fault: PlannedFault,
    begin: Partial<MachineFaults>,
    end: Partial<MachineFaults>,
  ): void {
    const machines = this.struck(fault);
    for (const id of machines) this.site.workers.fault(id, begin);
    this.later(fault.lasts, () => {
      for (const id of machines) this.site.workers.fault(id, end);
    });
  }

  /** Machines are cut off through changes of leaders; each is back for one answer a time. */
  private cutAtTakeovers(fault: PlannedFault): void {
    const machines = this.struck(fault);
    for (let i = 0; i < TAKEOVERS.count; i++) {
      this.later(i * TAKEOVERS.every, () => {
        for (const id of machines) this.cutOff(id, true);
        this.killFor(this.leaderOr(fault.node), AWAY);
      });
      this.later(i * TAKEOVERS.every + TAKEOVERS.away, () => {
        for (const id of machines) this.hearOneAnswer(id);
      });
    }
    this.later(TAKEOVERS.count * TAKEOVERS.every, () => {
      for (const id of machines) this.cutOff(id, false);
    });
  }

  private cutOff(id: string, cut: boolean): void {
    this.site.workers.fault(id, { reportsRefused: cut, commandsHeld: cut });
  }

  /** Until the machine has seen a higher token. */
  private hearOneAnswer(id: string): void {
    const token = this.site.workers.worker(id)?.fencingToken ?? 0;
    this.cutOff(id, false);
    const look = () => {
      const worker = this.site.workers.worker(id);
      if (worker && worker.fencingToken > token) this.cutOff(id, true);
      else if (worker) this.later(LOOK_EVERY, look);
    };
    look();
  }
}
