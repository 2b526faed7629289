/** Users' requests about jobs. */
import {
  JOBS_PATH,
  WireError,
  isJobId,
  parseSubmission,
  predecessorsOf,
  submissionId,
  unpackBody,
  type JobSpec,
  type JobView,
} from '@tealdock/wire';
import { infeasibilityReason } from '@tealdock/scheduler';
import type { Catalog } from '../machines/catalog.js';
import { endedKey, endedValue, fitsValue, specKey, type LiveValue } from '../state/keys.js';
import { AncestorCheck } from '../jobs/ancestor-check.js';
import {
  outcomeOf,
  type JobLookup,
  type JobLocateResult,
  type LookupOutcome,
} from '../jobs/job-lookup.js';
import type { JobCounts, Peers } from '../peers/peers.js';
import { PRIORITY, type HttpRequest, type Reply } from '../runtime/ports.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StateStore } from '../state/state-store.js';
import { RETRY_AFTER, methodNotAllowed, refuse, shown, unsure } from './replies.js';

type Answer = (reply: Reply) => void;

const MOST_PENDING = 400;
const CANCEL_TRIES = 5;

/** Why a job can't wait for the jobs that it names, whatever these are. */
function misnames(spec: JobSpec): string | null {
  const wrong = predecessorsOf(spec).find((p) => !isJobId(p) || p === spec.id);
  return wrong === undefined ? null : 'waits_on: names no other job';
}

const tooLong = (spec: JobSpec): string =>
  predecessorsOf(spec).length > 0 ? 'waits_on: too many jobs' : 'the description is too long';

/**
 * Users' requests, served on any node from the state service: a job is accepted,
 * done or cancelled when its key says so, and polls read or compare keys after they
 * arrive.
 */
export class JobRequests {
  private readonly ancestorCheck: AncestorCheck;
  private pending = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly state: StateStore,
    private readonly lookup: JobLookup,
    private readonly catalog: Catalog,
    private readonly peers: Peers,
    private readonly counts: (id: string) => JobCounts | undefined,
    private readonly onCancelled: (id: string) => void,
  ) {
    this.ancestorCheck = new AncestorCheck(runtime, lookup);
  }

  /** False if the path is none of the users'. */
  handle(request: HttpRequest): boolean {
    const parts = request.path.slice(JOBS_PATH.length).split('/');
    if (!request.path.startsWith(JOBS_PATH) || parts[0] !== '') return false;
    const [, id, verb, more] = parts;
    if (id === undefined) this.only(request, 'POST', (answer) => this.submit(request, answer));
    else if (verb === undefined) this.only(request, 'GET', (answer) => this.poll(id, answer));
    else if (verb === 'cancel' && more === undefined) {
      this.only(request, 'POST', (answer) => this.cancel(id, CANCEL_TRIES, answer));
    } else return false;
    return true;
  }

  private only(request: HttpRequest, method: string, run: (answer: Answer) => void): void {
    if (request.method !== method) {
      return methodNotAllowed(this.runtime, request, method);
    }
    if (this.pending >= MOST_PENDING) return this.runtime.reply(request.id, unsure());
    this.pending++;
    run((reply) => this.finish(request, reply));
  }

  /** A node that alone has lost the state service asks a peer that has it. */
  private finish(request: HttpRequest, reply: Reply): void {
    const relay = reply.status === 503 && request.via === 'public' && this.state.lastCallFailed;
    if (!relay) return this.answer(request, reply);
    const asked = this.peers.forwardRequest(
      request.method,
      request.path,
      request.body,
      (result) => {
        if (result.kind !== 'answer') return this.answer(request, reply);
        const retry = result.status === 503 ? { retryAfter: RETRY_AFTER } : {};
        this.answer(request, { status: result.status, body: result.body, ...retry });
      },
    );
    if (!asked) this.answer(request, reply);
  }

  private answer(request: HttpRequest, reply: Reply): void {
    this.pending--;
    this.runtime.reply(request.id, reply);
  }

  // --- reading ---------------------------------------------------------------

  private poll(id: string, answer: Answer): void {
    this.lookup.locate(id, (known) => this.replyFor(id, known, refuse(404, 'no such job'), answer));
  }

  private replyFor(id: string, known: JobLocateResult, none: Reply, answer: Answer): void {
    if (known.kind === 'unknown') answer(unsure());
    else if (known.kind === 'none') answer(none);
    else if (known.kind === 'ended') answer(shown(known.view));
    else this.replyLive(id, answer);
  }

  /**
   * A live job is over all the same if one that it needs was cancelled: no leader may have
   * come by since. This node ends it then, before anybody is told, so that no other node
   * can say anything older.
   */
  private replyLive(id: string, answer: Answer): void {
    this.ancestorCheck.check(id, (verdict) => {
      if (verdict === 'none_cancelled') answer(shown(this.liveView(id)));
      else if (verdict === 'unknown') answer(unsure());
      else this.cancel(id, CANCEL_TRIES, answer);
    });
  }

  private liveView(id: string): JobView {
    const { done, running } = this.counts(id) ?? { done: 0, running: 0 };
    return { id, state: running > 0 ? 'running' : 'queued', done, running };
  }

  // --- submitting ------------------------------------------------------------

  private submit(request: HttpRequest, answer: Answer): void {
    let body: unknown = null;
    let spec: JobSpec;
    try {
      body = unpackBody(request.body);
      spec = parseSubmission(body);
    } catch (error) {
      if (!(error instanceof WireError)) throw error;
      return this.judge(submissionId(body), refuse(400, error.message), answer);
    }
    if (!this.catalog.known) return this.judge(spec.id, unsure(), answer);
    const never =
      infeasibilityReason(spec, this.runtime.settings.teams, this.catalog.types) ?? misnames(spec);
    if (never) return this.judge(spec.id, refuse(422, never), answer);
    if (!fitsValue(spec, this.runtime.settings.state.maxValueBytes)) {
      return this.judge(spec.id, refuse(400, tooLong(spec)), answer);
    }
    this.checkPredecessors(spec, answer);
  }

  /** A refusal is only for a job that is not known already. */
  private judge(id: string | null, reply: Reply, answer: Answer): void {
    if (id === null) return answer(reply);
    this.lookup.read(id, (known) => this.replyFor(id, known, reply, answer));
  }

  /** Each has to have been accepted, and to be known to have been, by its key. */
  private checkPredecessors(spec: JobSpec, answer: Answer): void {
    const predecessors = predecessorsOf(spec);
    const found = new Set<LookupOutcome>();
    let left = predecessors.length;
    if (left === 0) return this.accept(spec, false, answer);
    for (const id of predecessors) {
      this.lookup.locate(id, (known) => {
        found.add(outcomeOf(known));
        if (--left > 0) return;
        if (found.has('none')) {
          return this.judge(spec.id, refuse(422, 'waits_on: names an unknown job'), answer);
        }
        if (found.has('unknown')) return this.judge(spec.id, unsure(), answer);
        this.accept(spec, found.has('cancelled'), answer);
      });
    }
  }

  /** A job that needs a cancelled one is accepted, and is over at once. */
  private accept(spec: JobSpec, predecessorCancelled: boolean, answer: Answer): void {
    const guards = [
      { key: specKey(spec.id), version: 0 },
      { key: endedKey(spec.id), version: 0 },
    ];
    const { wallClock: today, settings } = this.runtime;
    const live: LiveValue = { spec, submitted: today.getTime() };
    const write = predecessorCancelled
      ? {
          put: endedKey(spec.id),
          value: endedValue('cancelled', spec, today, settings.state.maxValueBytes),
        }
      : { put: specKey(spec.id), value: live };
    this.state.compareAndSwap(guards, [write], PRIORITY.user, (committed) => {
      if (committed.kind === 'ok') {
        this.runtime.env.log('info', { job: spec.id, tasks: spec.taskCount }, 'job accepted');
        if (predecessorCancelled)
          return answer(shown(this.lookup.recordEnded(spec.id, 'cancelled', 0), 201));
        this.lookup.recordLive(spec.id, committed.revision, predecessorsOf(spec));
        return answer(shown({ id: spec.id, state: 'queued' }, 201));
      }
      // Known already, or by an earlier commit of this request that got no answer.
      if (committed.kind === 'conflict') return this.judge(spec.id, unsure(), answer);
      answer(unsure());
    });
  }

  // --- cancelling ------------------------------------------------------------

  private cancel(id: string, tries: number, answer: Answer): void {
    this.lookup.read(id, (known) => {
      if (known.kind === 'unknown' || tries === 0) return answer(unsure());
      if (known.kind === 'none') return answer(refuse(404, 'no such job'));
      if (known.kind === 'ended') return answer(shown({ id, state: known.view.state }));
      if (!known.value) return answer(unsure());
      this.commitCancel(id, known.value, known.version, tries, answer);
    });
  }

  private commitCancel(
    id: string,
    live: LiveValue,
    version: number,
    tries: number,
    answer: Answer,
  ): void {
    const { maxValueBytes } = this.runtime.settings.state;
    const value = endedValue('cancelled', live.spec, this.runtime.wallClock, maxValueBytes);
    const guards = [
      { key: specKey(id), version },
      { key: endedKey(id), version: 0 },
    ];
    const writes = [{ put: endedKey(id), value }, { remove: specKey(id) }];
    this.state.compareAndSwap(guards, writes, PRIORITY.user, (committed) => {
      if (committed.kind === 'conflict') return this.cancel(id, tries - 1, answer);
      if (committed.kind !== 'ok') return answer(unsure());
      this.runtime.env.log('info', { job: id }, 'job cancelled');
      this.onCancelled(id);
      answer(shown({ id, state: 'cancelled' }));
    });
  }
}
