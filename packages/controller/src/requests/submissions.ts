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
import {
  errorReply,
  jobReply,
  recordMalformed,
  unavailableReply,
  type Respond,
} from './replies.js';

/** Accepts jobs. A job is accepted once the state service has committed its key. */
export class Submissions {
  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly lookup: JobLookup,
    private readonly catalog: Catalog,
    private readonly jobStatus: JobStatus,
  ) {}

  /** Accepts or refuses a job. If the job exists already, the reply is its state. */
  submit(request: HttpRequest, respond: Respond): void {
    let body: unknown = null;
    let spec: JobSpec;
    try {
      body = unpackBody(request.body);
      spec = parseSubmission(body);
    } catch (error) {
      if (!(error instanceof WireError)) throw error;
      recordMalformed(this.runtime, request, error);
      return this.refuseUnlessKnown(submissionId(body), errorReply(400, error.message), respond);
    }
    const refusal = this.refusalOf(spec);
    if (refusal) return this.refuseUnlessKnown(spec.id, refusal, respond);
    this.checkPredecessors(spec, respond);
  }

  /** Null if the job may be accepted, as far as that does not depend on its predecessors. */
  private refusalOf(spec: JobSpec): Reply | null {
    if (!this.catalog.isLoaded) return unavailableReply();
    const { teams, state } = this.runtime.settings;
    const { types, isComplete } = this.catalog;
    const infeasibility = infeasibilityReason(spec, teams, types);
    // A type that is not known yet may hold the tasks; a refusal would be final.
    if (infeasibility !== null && !isComplete) return unavailableReply();
    const problem = infeasibility ?? predecessorProblem(spec);
    if (problem !== null) return errorReply(422, problem);
    if (!fitsValue(spec, state.maxValueBytes)) return errorReply(400, sizeProblem(spec));
    return null;
  }

  /** Replies with the job's state if it exists already, else with the refusal. */
  private refuseUnlessKnown(id: string | null, refusal: Reply, respond: Respond): void {
    if (id === null) return respond(refusal);
    this.jobStatus.replyWithStateOrElse(id, refusal, respond);
  }

  /** Accepts the job if the state service has a key for each predecessor. */
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
          return this.refuseUnlessKnown(spec.id, refusal, respond);
        }
        if (outcomes.has('unknown'))
          return this.refuseUnlessKnown(spec.id, unavailableReply(), respond);
        this.accept(spec, outcomes.has('cancelled'), respond);
      });
    }
  }

  /** A job with a cancelled predecessor is accepted too, but stored as already cancelled. */
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
    // The job exists already: from an earlier submission, or from a commit that got no answer.
    if (commit.kind === 'conflict') return this.refuseUnlessKnown(id, unavailableReply(), respond);
    if (commit.kind !== 'ok') return respond(unavailableReply());
    this.runtime.log('info', { job: id, tasks: taskCount }, 'job accepted');
    if (predecessorCancelled) {
      return respond(jobReply(this.lookup.recordEnded(id, 'cancelled', 0), 201));
    }
    this.lookup.recordLive(id, commit.revision, predecessorsOf(spec));
    respond(jobReply({ id, state: 'queued' }, 201));
  }
}

/** Why the predecessors are refused: an id is malformed or the job's own; null if none is. */
function predecessorProblem(spec: JobSpec): string | null {
  const isInvalid = (id: string) => !isJobId(id) || id === spec.id;
  return predecessorsOf(spec).some(isInvalid) ? 'waits_on: names no other job' : null;
}

/** Why a job that exceeds the size limit of a stored value is refused. */
function sizeProblem(spec: JobSpec): string {
  return predecessorsOf(spec).length > 0
    ? 'waits_on: too many jobs'
    : 'the description is too long';
}
