import {
  JOBS_PATH,
  WireError,
  isJobId,
  packBody,
  parseSubmission,
  renderJobView,
  submissionId,
  unpackBody,
  type JobSpec,
  type JobView,
} from '@tealdock/wire';
import { whyNever } from '@tealdock/scheduler';
import type { Catalog } from './catalog.js';
import { endedKey, readLive, specKey, type EndedValue, type LiveValue } from './keys.js';
import { LiveProofs } from './live-proofs.js';
import type { JobCounts, Peers } from './peers.js';
import { PRIORITY, type Command, type Reply } from './ports.js';
import type { Runtime } from './runtime.js';
import type { StateStore } from './state-store.js';

type Request = Extract<Command, { kind: 'request' }>;
type Answer = (reply: Reply) => void;

/** What the state service says of a job; `unsure` when it can't be told. */
type Known =
  | { kind: 'live'; value: LiveValue | null; version: number }
  | { kind: 'ended'; view: JobView }
  | { kind: 'none' }
  | { kind: 'unsure' };

/** `unsure` also for a job that was never accepted. */
export type Liveness = 'live' | 'ended' | 'unsure';

const RETRY_AFTER = 1000;
const MOST_CACHED = 2000;
const MOST_PENDING = 400;
const CANCEL_TRIES = 5;

const refuse = (status: number, error: string): Reply => ({ status, body: { error } });
const unsure = (): Reply => ({
  status: 503,
  body: { error: 'state service not reached' },
  retryAfter: RETRY_AFTER,
});
const shown = (view: JobView, status = 200): Reply => ({ status, body: renderJobView(view) });

/**
 * Users' requests, served on any node from the state service: a job is accepted,
 * done or cancelled when its key says so, and polls read or compare keys after they
 * arrive. Only final answers are cached, since they can't change.
 */
export class Requests {
  private readonly ended = new Map<string, JobView>();
  private readonly proofs: LiveProofs;
  private pending = 0;

  constructor(
    private readonly rt: Runtime,
    private readonly state: StateStore,
    private readonly catalog: Catalog,
    private readonly peers: Peers,
    private readonly counts: (id: string) => JobCounts | undefined,
    private readonly onCancelled: (id: string) => void,
  ) {
    this.proofs = new LiveProofs(rt, state);
  }

  /** False if the path is none of the users'. */
  handle(request: Request): boolean {
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

  private only(request: Request, method: string, run: (answer: Answer) => void): void {
    if (request.method !== method) {
      return this.rt.reply(request.id, { ...refuse(405, 'method not allowed'), allow: method });
    }
    if (this.pending >= MOST_PENDING) return this.rt.reply(request.id, unsure());
    this.pending++;
    run((reply) => this.finish(request, reply));
  }

  /** A node that alone has lost the state service asks a peer that has it. */
  private finish(request: Request, reply: Reply): void {
    const relay = reply.status === 503 && request.via === 'public' && this.state.doubtful;
    if (!relay) return this.answer(request, reply);
    const asked = this.peers.ask(request.method, request.path, request.body, (r) => {
      if (r.kind !== 'answer') return this.answer(request, reply);
      const retry = r.status === 503 ? { retryAfter: RETRY_AFTER } : {};
      this.answer(request, { status: r.status, body: r.body, ...retry });
    });
    if (!asked) this.answer(request, reply);
  }

  private answer(request: Request, reply: Reply): void {
    this.pending--;
    this.rt.reply(request.id, reply);
  }

  // --- reading ---------------------------------------------------------------

  private poll(id: string, answer: Answer): void {
    const proven = this.proofs.ask(id, (proof) => {
      if (proof === 'unsure') answer(unsure());
      else if (proof === 'live') answer(shown(this.liveView(id)));
      else this.read(id, answer);
    });
    if (!proven) this.read(id, answer);
  }

  /** Whether the job was live at some moment after this was asked, or is over for good. */
  prove(id: string, done: (proof: Liveness) => void): void {
    const look = () =>
      this.look(id, (known) => done(known.kind === 'none' ? 'unsure' : known.kind));
    const proven = this.proofs.ask(id, (proof) => (proof === 'changed' ? look() : done(proof)));
    if (!proven) look();
  }

  private read(id: string, answer: Answer): void {
    this.look(id, (known) => answer(this.replyFor(id, known, refuse(404, 'no such job'))));
  }

  private replyFor(id: string, known: Known, none: Reply): Reply {
    if (known.kind === 'unsure') return unsure();
    if (known.kind === 'none') return none;
    return shown(known.kind === 'ended' ? known.view : this.liveView(id));
  }

  private liveView(id: string): JobView {
    const { done, running } = this.counts(id) ?? { done: 0, running: 0 };
    return { id, state: running > 0 ? 'running' : 'queued', done, running };
  }

  /** Live first, then ended: a job moves only from the one to the other. */
  private look(id: string, done: (known: Known) => void): void {
    const cached = this.ended.get(id);
    if (cached) return done({ kind: 'ended', view: cached });
    if (!isJobId(id)) return done({ kind: 'none' });
    this.state.get(specKey(id), PRIORITY.user, (got) => {
      if (got.kind === 'failed') return done({ kind: 'unsure' });
      if (got.kind === 'missing') return this.lookEnded(id, done);
      const { key, version } = got.item;
      const value = readLive(got.item.value);
      if (!value) this.rt.env.log('error', { key }, 'stored value can not be read');
      this.proofs.note(id, version);
      done({ kind: 'live', value, version });
    });
  }

  private lookEnded(id: string, done: (known: Known) => void): void {
    this.state.get(endedKey(id), PRIORITY.user, (got) => {
      if (got.kind === 'failed') return done({ kind: 'unsure' });
      if (got.kind === 'missing') return done({ kind: 'none' });
      const value = got.item.value as EndedValue;
      done({ kind: 'ended', view: this.remember(id, value.state, value.spec.taskCount) });
    });
  }

  private remember(id: string, state: EndedValue['state'], tasks: number): JobView {
    const counts = state === 'done' ? { done: tasks, running: 0 } : {};
    const view: JobView = { id, state, ...counts };
    this.proofs.forget(id);
    this.ended.set(id, view);
    const oldest = this.ended.keys().next().value;
    if (this.ended.size > MOST_CACHED && oldest !== undefined) this.ended.delete(oldest);
    return view;
  }

  // --- submitting ------------------------------------------------------------

  private submit(request: Request, answer: Answer): void {
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
    const never = whyNever(spec, this.rt.settings.teams, this.catalog.types);
    if (never) return this.judge(spec.id, refuse(422, never), answer);
    const value: LiveValue = { spec, submitted: this.rt.today.getTime() };
    if (packBody(value).length * 2 > this.rt.settings.state.valueBytes) {
      return this.judge(spec.id, refuse(400, 'the description is too long'), answer);
    }
    this.accept(spec, value, answer);
  }

  /** A refusal is only for a job that is not known already. */
  private judge(id: string | null, reply: Reply, answer: Answer): void {
    if (id === null) return answer(reply);
    this.look(id, (known) => answer(this.replyFor(id, known, reply)));
  }

  private accept(spec: JobSpec, value: LiveValue, answer: Answer): void {
    const guards = [
      { key: specKey(spec.id), version: 0 },
      { key: endedKey(spec.id), version: 0 },
    ];
    const write = { put: specKey(spec.id), value };
    this.state.commit(guards, [write], PRIORITY.user, (committed) => {
      if (committed.kind === 'ok') {
        this.proofs.note(spec.id, committed.revision);
        this.rt.env.log('info', { job: spec.id, tasks: spec.taskCount }, 'job accepted');
        return answer(shown({ id: spec.id, state: 'queued' }, 201));
      }
      // Known already, or by an earlier commit of this request that got no answer.
      if (committed.kind === 'conflict') return this.judge(spec.id, unsure(), answer);
      answer(unsure());
    });
  }

  // --- cancelling ------------------------------------------------------------

  private cancel(id: string, tries: number, answer: Answer): void {
    this.look(id, (known) => {
      if (known.kind === 'unsure' || tries === 0) return answer(unsure());
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
    const value: EndedValue = { state: 'cancelled', spec: live.spec };
    const guards = [
      { key: specKey(id), version },
      { key: endedKey(id), version: 0 },
    ];
    const writes = [{ put: endedKey(id), value }, { remove: specKey(id) }];
    this.state.commit(guards, writes, PRIORITY.user, (committed) => {
      if (committed.kind === 'conflict') return this.cancel(id, tries - 1, answer);
      if (committed.kind !== 'ok') return answer(unsure());
      this.rt.env.log('info', { job: id }, 'job cancelled');
      this.onCancelled(id);
      answer(shown({ id, state: 'cancelled' }));
    });
  }
}
