/** Submission of jobs by users. */
import {
  WireError,
  isJobId,
  parseSubmission,
  predecessorsOf,
  submissionId,
  unpackBody,
  type JobSpec,
} from '@tealdock/wire';
import { infeasibilityReason } from '@tealdock/scheduler';
import { outcomeOf, type JobLookup, type LookupOutcome } from '../jobs/job-lookup.js';
import type { Catalog } from '../machines/catalog.js';
import { PRIORITY, type HttpRequest, type Reply } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import { endedKey, specKey } from '../state/keys.js';
import type { CompareAndSwapResult } from '../state/state-results.js';
import type { StateStore } from '../state/state-store.js';
import { endedValue, fitsValue, type LiveValue } from '../state/stored-values.js';
import type { JobStatus } from './job-status.js';
import { errorReply, jobReply, unavailableReply, type Respond } from './replies.js';

/** Accepts jobs into the state service; a job is accepted once its key says so. */
export class Submissions {
  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly lookup: JobLookup,
    private readonly catalog: Catalog,
    private readonly jobStatus: JobStatus,
  ) {}

  /** Accepts the job or refuses it. One that is known already gets its state as the reply. */
  submit(request: HttpRequest, respond: Respond): void {
    let body: unknown = null;
    let spec: JobSpec;
    try {
      body = unpackBody(request.body);
      spec = parseSubmission(body);
    } catch (error) {
      if (!(error instanceof WireError)) throw error;
      return this.refuse(submissionId(body), errorReply(400, error.message), respond);
    }
    const refusal = this.refusalOf(spec);
    if (refusal) return this.refuse(spec.id, refusal, respond);
    this.checkPredecessors(spec, respond);
  }

  /** Why the job can't be accepted whatever its predecessors are; null if it can. */
  private refusalOf(spec: JobSpec): Reply | null {
    if (!this.catalog.isLoaded) return unavailableReply();
    const { teams, state } = this.runtime.settings;
    const problem =
      infeasibilityReason(spec, teams, this.catalog.types) ?? predecessorProblem(spec);
    if (problem !== null) return errorReply(422, problem);
    if (!fitsValue(spec, state.maxValueBytes)) return errorReply(400, sizeProblem(spec));
    return null;
  }

  /** Replies with a refusal only where the job is not known already. */
  private refuse(id: string | null, refusal: Reply, respond: Respond): void {
    if (id === null) return respond(refusal);
    this.jobStatus.pollOrElse(id, refusal, respond);
  }

  /** Each predecessor must have been accepted, as its key shows. */
  private checkPredecessors(spec: JobSpec, respond: Respond): void {
    const predecessors = predecessorsOf(spec);
    const outcomes = new Set<LookupOutcome>();
    let pendingCount = predecessors.length;
    if (pendingCount === 0) return this.accept(spec, false, respond);
    for (const id of predecessors) {
      this.lookup.locate(id, (job) => {
        outcomes.add(outcomeOf(job));
        pendingCount--;
        if (pendingCount > 0) return;
        if (outcomes.has('none')) {
          const refusal = errorReply(422, 'waits_on: names an unknown job');
          return this.refuse(spec.id, refusal, respond);
        }
        if (outcomes.has('unknown')) return this.refuse(spec.id, unavailableReply(), respond);
        this.accept(spec, outcomes.has('cancelled'), respond);
      });
    }
  }

  /** A job that needs a cancelled one is accepted, and is over at once. */
  private accept(spec: JobSpec, predecessorCancelled: boolean, respond: Respond): void {
    const preconditions = [
      { key: specKey(spec.id), version: 0 },
      { key: endedKey(spec.id), version: 0 },
    ];
    const { wallClock, settings } = this.runtime;
    const live: LiveValue = { spec, submitted: wallClock.getTime() };
    const write = predecessorCancelled
      ? {
          put: endedKey(spec.id),
          value: endedValue('cancelled', spec, wallClock, settings.state.maxValueBytes),
        }
      : { put: specKey(spec.id), value: live };
    this.state.compareAndSwap(preconditions, [write], PRIORITY.user, (commit) =>
      this.onCommitResult(spec, predecessorCancelled, commit, respond),
    );
  }

  private onCommitResult(
    spec: JobSpec,
    predecessorCancelled: boolean,
    commit: CompareAndSwapResult,
    respond: Respond,
  ): void {
    const { id, taskCount } = spec;
    // Known already, or by an earlier commit of this request that got no answer.
    if (commit.kind === 'conflict') return this.refuse(id, unavailableReply(), respond);
    if (commit.kind !== 'ok') return respond(unavailableReply());
    this.runtime.log('info', { job: id, tasks: taskCount }, 'job accepted');
    if (predecessorCancelled) {
      return respond(jobReply(this.lookup.recordEnded(id, 'cancelled', 0), 201));
    }
    this.lookup.recordLive(id, commit.revision, predecessorsOf(spec));
    respond(jobReply({ id, state: 'queued' }, 201));
  }
}

/** Why a job can't wait for the jobs that it names, whatever these are; null if it can. */
function predecessorProblem(spec: JobSpec): string | null {
  const isInvalid = (id: string) => !isJobId(id) || id === spec.id;
  return predecessorsOf(spec).some(isInvalid) ? 'waits_on: names no other job' : null;
}

function sizeProblem(spec: JobSpec): string {
  return predecessorsOf(spec).length > 0
    ? 'waits_on: too many jobs'
    : 'the description is too long';
}
