/** The leader's periodic messages to the other controllers. */
import type { LeaderBroadcast } from '@tealdock/wire';
import type { Leadership } from '../leadership/leadership.js';
import type { Peers } from '../peers/peers.js';
import type { LeaderContext } from '../requests/leader-heartbeats.js';
import type { Runtime } from '../runtime/runtime.js';
import { collectHints } from '../term/successor-hints.js';

const TASK_COUNTS_INTERVAL_MS = 2000;
/** The most jobs that one message holds counts of, to limit its size. */
const MAX_TASK_COUNTS_JOB_COUNT = 4000;
const HINTS_INTERVAL_MS = 5000;

/** Sends task counts for display and hints for the next leader; correctness needs neither. */
export class LeaderBroadcasts {
  constructor(
    private readonly runtime: Runtime,
    private readonly leadership: Leadership,
    private readonly peers: Peers,
    private readonly leader: Pick<LeaderContext, 'term'>,
  ) {}

  /** Starts the periodic messages; they are sent only while this node leads. */
  start(): void {
    this.runtime.every(TASK_COUNTS_INTERVAL_MS, () => {
      this.broadcastTaskCounts();
      return true;
    });
    this.runtime.every(HINTS_INTERVAL_MS, () => {
      this.broadcastHints();
      return true;
    });
  }

  private broadcastTaskCounts(): void {
    const { term } = this.leader;
    if (!term || !this.leadership.validLease()) return;
    const jobs = [...term.jobs.values()].slice(0, MAX_TASK_COUNTS_JOB_COUNT).map((job) => ({
      id: job.id,
      done: job.progress.doneTaskCount,
      running: job.countRunning(),
    }));
    this.broadcast({ kind: 'counts', jobs });
  }

  private broadcastHints(): void {
    const { term } = this.leader;
    if (!term?.allMachinesReconciled || !this.leadership.validLease()) return;
    this.broadcast({ kind: 'hints', ...collectHints(term) });
  }

  /** Also applies the message to this node, which serves users and may be elected again. */
  private broadcast(message: LeaderBroadcast): void {
    this.runtime.broadcast(message);
    this.peers.receiveBroadcast(message);
  }
}
