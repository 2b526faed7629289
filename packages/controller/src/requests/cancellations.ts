/** Cancellation of jobs by users. */
import type { JobLookup } from '../jobs/job-lookup.js';
import { PRIORITY } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { endedKey, specKey } from '../state/keys.js';
import type { StateStore } from '../state/state-store.js';
import { endedValue, type LiveValue } from '../state/stored-values.js';
import { errorReply, jobReply, unavailableReply, type Respond } from './replies.js';

/** The most commits tried for one request; a commit fails if another node changes the job first. */
const MAX_COMMIT_ATTEMPT_COUNT = 5;

/** A live job's stored value, and the key version that the commit requires. */
interface LiveJobVersion {
  id: string;
  value: LiveValue;
  version: number;
}

/** Cancels jobs. A job is cancelled once the state service has committed its ended key. */
export class Cancellations {
  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly lookup: JobLookup,
    private readonly onCancelled: (id: string) => void,
  ) {}

  /** Cancels the job if it is live and replies with its state; 404 if there is no such job. */
  cancel(id: string, respond: Respond): void {
    this.readAndCancel(id, MAX_COMMIT_ATTEMPT_COUNT, respond);
  }

  private readAndCancel(id: string, attemptsLeft: number, respond: Respond): void {
    this.lookup.read(id, (job) => {
      if (job.kind === 'unknown' || attemptsLeft === 0) return respond(unavailableReply());
      if (job.kind === 'none') return respond(errorReply(404, 'no such job'));
      if (job.kind === 'ended') return respond(jobReply({ id, state: job.view.state }));
      if (!job.value) return respond(unavailableReply());
      const { value, version } = job;
      this.commit({ id, value, version }, attemptsLeft, respond);
    });
  }

  private commit(job: LiveJobVersion, attemptsLeft: number, respond: Respond): void {
    const { id, version } = job;
    const { maxValueBytes } = this.runtime.settings.state;
    const value = endedValue('cancelled', job.value.spec, this.runtime.wallClock, maxValueBytes);
    const preconditions = [
      { key: specKey(id), version },
      { key: endedKey(id), version: 0 },
    ];
    const writes = [{ put: endedKey(id), value }, { remove: specKey(id) }];
    this.state.compareAndSwap(preconditions, writes, PRIORITY.user, (commit) => {
      if (commit.kind === 'conflict') return this.readAndCancel(id, attemptsLeft - 1, respond);
      if (commit.kind !== 'ok') return respond(unavailableReply());
      this.runtime.log('info', { job: id }, 'job cancelled');
      this.onCancelled(id);
      respond(jobReply({ id, state: 'cancelled' }));
    });
  }
}
