import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import {
  PeerDecoder,
  packPeerMessage,
  predecessorsOf,
  type JobSpec,
  type PeerMessage,
} from '@tealdock/wire';
import { SimulatedCluster, job, type ClusterOptions } from '../index.js';
import {
  JOB1,
  replyTo,
  runUntilDone,
  jobId,
  assertNoViolations,
  readyCluster,
  statusOf,
} from './steps.js';

/** Keys that an older version stored and frames that it sent, recorded by running it. */
interface Recording {
  epoch: number;
  keys: { key: string; v: unknown; stamp: number }[];
  frames: { message: Record<string, unknown>; frame: string }[];
}

function readFixture(name: string): Recording {
  const file = new URL(`../../fixtures/${name}.json`, import.meta.url);
  return JSON.parse(readFileSync(file, 'utf8')) as Recording;
}

/** Versions that an upgrade may start from: the last without job chains, the first with them. */
const OLDER_VERSIONS = {
  'before chains': readFixture('before-chains'),
  'first with chains': readFixture('first-with-chains'),
};

/** Defines one test for each older version, whose name is appended to the title. */
function testWithEachVersion(title: string, run: (recorded: Recording) => void): void {
  for (const [version, recorded] of Object.entries(OLDER_VERSIONS)) {
    test(`${title} (${version})`, () => run(recorded));
  }
}

/** A cluster whose state service holds all keys of the older version but that of its leader. */
function clusterOnStoredState(recorded: Recording, options: ClusterOptions = {}): SimulatedCluster {
  const cluster = new SimulatedCluster({ capacity: 4, cpuLimit: 100, ...options });
  for (const { key, v, stamp } of recorded.keys) {
    if (!key.endsWith('/leader')) cluster.state.keys.set(key, { v, stamp, lease: null });
  }
  cluster.state.epoch = recorded.epoch;
  // Machine ids are never reused, so the recorded machines no longer exist: use up their ids.
  for (let i = 0; i < 60; i++) cluster.cloud.removeMachine(cluster.cloud.addMachine('a').id);
  for (const n of cluster.nodeNames) {
    cluster.crash(n);
    cluster.boot(n);
  }
  return cluster;
}

/** Whether the new value has all fields of the recorded one, with values of the same types. */
function hasAllFieldsOf(old: unknown, now: unknown): boolean {
  if (old === null || now === null) return old === now || typeof now !== 'undefined';
  if (Array.isArray(old) || typeof old !== 'object') return typeof old === typeof now;
  const fields = now as Record<string, unknown>;
  return Object.entries(old).every(([name, value]) => hasAllFieldsOf(value, fields[name]));
}

/** Names that fields of a recorded heartbeat have in memory now; frames carry no names. */
const CURRENT_FIELD_NAMES: Record<string, string> = {
  token: 'fencingToken',
  stateOk: 'stateAvailable',
};

/** A recorded message with the names that its fields have in memory now. */
function inCurrentNames(message: Record<string, unknown>): Record<string, unknown> {
  if (message['kind'] !== 'beat') return { ...message };
  const renamed = Object.entries(message).map(
    ([name, value]) => [CURRENT_FIELD_NAMES[name] ?? name, value] as const,
  );
  return { ...Object.fromEntries<unknown>(renamed), kind: 'heartbeat' };
}

testWithEachVersion(
  'messages between controllers are encoded as by the older version, byte for byte',
  (recorded) => {
    for (const { message, frame } of recorded.frames) {
      const bytes = Buffer.from(frame, 'base64');
      const [decoded, ...rest] = new PeerDecoder().push(bytes);
      assert.equal(rest.length, 0);
      const sent = inCurrentNames(message);
      if (typeof sent['body'] === 'string') sent['body'] = Buffer.from(sent['body'], 'base64');
      for (const [name, value] of Object.entries(sent)) {
        const decodedValue = (decoded as unknown as Record<string, unknown>)[name];
        assert.equal(JSON.stringify(decodedValue), JSON.stringify(value), name);
      }
      assert.deepEqual(packPeerMessage(sent as PeerMessage), bytes);
    }
  },
);

testWithEachVersion(
  'jobs, ends, progress and registry stored by the older version are read completely',
  (recorded) => {
    const cluster = clusterOnStoredState(recorded, { runTime: 3000 });
    const live = recorded.keys.filter((k) => k.key.includes('/live/'));
    for (const { v } of live) {
      const { spec } = v as { spec: { id: string; taskCount: number } };
      cluster.jobs.set(spec.id, spec as never);
    }
    cluster.run(4000);
    const loaded = cluster.logLines.find((l) => l.message === 'stored state loaded');
    assert.deepEqual([loaded?.fields['jobs'], loaded?.fields['machines']], [live.length, 60]);
    for (const { key, v } of recorded.keys.filter((k) => k.key.includes('/ended/'))) {
      const id = key.split('/').at(-1)!;
      const { state } = v as { state: string };
      const reportedStatus = statusOf(replyTo(cluster, (d) => cluster.poll(id, 'n-1', d)));
      assert.equal(reportedStatus, state === 'cancelled' ? 'aborted' : state);
    }
    // The recorded machines no longer exist; once their leases have expired, unfinished tasks run.
    const starts = new Set<unknown>();
    const allJobsEnded = () => [...cluster.state.keys.keys()].every((k) => !k.includes('/live/'));
    assert.ok(cluster.runUntil(allJobsEnded, 300_000));
    for (const l of cluster.logLines)
      if (l.message === 'start dispatched') starts.add(l.fields['task']);
    const doneBefore = ['run-000003/0', 'run-000004/0'];
    for (const task of doneBefore) assert.ok(!starts.has(task), `${task} was done before`);
    assert.ok(starts.has('run-000003/3'));
    for (const { v } of live) {
      const { spec } = v as { spec: JobSpec };
      for (const p of predecessorsOf(spec)) assertReleasedBy(cluster, spec.id, p);
    }
  },
);

/** Asserts that the job's first start follows the end of a predecessor that ended in this run. */
function assertReleasedBy(cluster: SimulatedCluster, id: string, predecessor: string): void {
  const started = cluster.logLines.findIndex(
    (l) => l.message === 'start dispatched' && String(l.fields['task']).startsWith(`${id}/`),
  );
  const ended = cluster.logLines.findIndex(
    (l) => l.message === 'job ended' && l.fields['job'] === predecessor,
  );
  assert.ok(started > ended, `${id} started after ${predecessor} had ended`);
}

testWithEachVersion(
  'a new job may depend on jobs that were done or cancelled under the older version',
  (recorded) => {
    const cluster = clusterOnStoredState(recorded);
    for (let i = 0; i < 2; i++) cluster.cloud.addMachine('a');
    cluster.run(40_000);
    const ended = recorded.keys.filter((k) => k.key.includes('/ended/'));
    const doneJob = ended
      .find((k) => (k.v as { state: string }).state === 'done')
      ?.key.split('/')
      .at(-1);
    const cancelledJob = ended
      .find((k) => (k.v as { state: string }).state !== 'done')
      ?.key.split('/')
      .at(-1);
    if (doneJob !== undefined) {
      cluster.submit(job(101, { waits_on: [doneJob] }), 'n-0');
      assert.ok(runUntilDone(cluster, jobId(101)));
    }
    assert.ok(cancelledJob !== undefined);
    const reply = replyTo(cluster, (d) =>
      cluster.submit(job(102, { waits_on: [cancelledJob] }), 'n-1', d),
    );
    assert.deepEqual([reply?.status, statusOf(reply)], [201, 'aborted']);
    assert.ok(doneJob !== undefined);
  },
);

testWithEachVersion('values stored by this version can be read by the older one', (recorded) => {
  const cluster = readyCluster({ runTimeOf: (p) => 2000 + Number(p.split('/')[1]) * 30_000 });
  for (let n = 1; n <= 4; n++) cluster.submit(job(n, { batch: n }), 'n-0');
  cluster.run(6000);
  cluster.submit(job(5, { waits_on: [JOB1] }), 'n-0');
  cluster.cancel(jobId(4), 'n-1');
  cluster.run(6000);
  const keyKind = /tealdock\/(leader|owned|roster|progress|live|ended)/;
  // The first key of each kind; the first live job has no predecessors.
  const older = new Map(recorded.keys.map((k) => [keyKind.exec(k.key)?.[1], k.v]).reverse() as []);
  const seen = new Set<string>();
  for (const [key, entry] of cluster.state.keys) {
    const kind = keyKind.exec(key)?.[1];
    if (kind === undefined) continue;
    seen.add(kind);
    // Entries of sharded tables have names of their own, so one entry is compared for all.
    if (kind === 'roster' || kind === 'progress') {
      const first = (v: unknown) => Object.values((v as { entries: object }).entries)[0] as unknown;
      if (first(entry.v) !== undefined) {
        assert.ok(hasAllFieldsOf(first(older.get(kind)), first(entry.v)), key);
      }
    } else assert.ok(hasAllFieldsOf(older.get(kind), entry.v), key);
  }
  assert.deepEqual([...seen].sort(), ['ended', 'leader', 'live', 'owned', 'progress', 'roster']);
});

// A leader of the older version, in office between two of the current one, ends jobs without storing
// when. It also writes shards up to the limits that it knows and copies fields that it does not
// know, which this test does not simulate.
test('a job completes if the end of its predecessor has no time, as in the older version', () => {
  for (const pause of [300, 3000]) {
    const cluster = readyCluster({ runTimeOf: (p) => (p.startsWith(JOB1) ? 6000 : 4000) });
    cluster.submit(job(1), 'n-0');
    cluster.run(1500);
    cluster.submit(job(2, { waits_on: [JOB1] }), 'n-1');
    cluster.run(1500);
    assert.ok(cluster.runUntil(() => cluster.checker.doneTasks(JOB1).size === 2, 20_000));
    for (const n of cluster.nodeNames) cluster.crash(n);
    commitEndAsOlderVersion(cluster, JOB1);
    cluster.run(pause);
    for (const n of cluster.nodeNames) cluster.boot(n);
    assert.ok(runUntilDone(cluster, jobId(2)));
    assertNoViolations(cluster);
  }
});

/** Commits the end of a job as the older version does, without its time. */
function commitEndAsOlderVersion(cluster: SimulatedCluster, id: string): void {
  const key = `tealdock/live/${id}/spec`;
  const live = cluster.state.keys.get(key);
  if (!live) return;
  const { spec } = live.v as { spec: unknown };
  const writes = [{ write: `tealdock/ended/${id}`, v: { state: 'done', spec } }, { delete: key }];
  const guards = [{ key, stamp: live.stamp }];
  cluster.state.handle('POST', '/commit', { guards, writes }, (r) => {
    assert.ok(r.kind === 'answer' && r.status === 200);
  });
}

testWithEachVersion(
  'all jobs complete while nodes are replaced one by one under load, with leader crashes between',
  (recorded) => {
    for (const seed of [1, 2, 3]) {
      const cluster = clusterOnStoredState(recorded, { seed, capacity: 8, runTime: 5000 });
      for (let i = 0; i < 4; i++) cluster.cloud.addMachine(i % 2 ? 'a' : 'b');
      cluster.run(5000);
      for (let n = 101; n <= 112; n++) {
        const waits = n > 104 ? [jobId(n - 1), jobId(n - 3)] : [];
        cluster.at((n - 100) * 2500, () => {
          const missing = () => !cluster.checker.isAccepted(jobId(n));
          const submitWithRetries = () => {
            const node = [...cluster.processes.running.keys()][
              n % Math.max(1, cluster.processes.running.size)
            ];
            if (node && missing()) cluster.submit(job(n, { batch: 3, waits_on: waits }), node);
            if (missing()) cluster.at(3000, submitWithRetries);
          };
          submitWithRetries();
        });
      }
      for (const [i, n] of cluster.nodeNames.entries()) {
        cluster.at(4000 + i * 9000, () => cluster.crash(n));
        cluster.at(6000 + i * 9000, () => cluster.processes.running.has(n) || cluster.boot(n));
        cluster.at(11_000 + i * 9000, () => {
          const leader = cluster.leader();
          if (leader) cluster.crash(leader);
          cluster.at(
            400,
            () => leader && (cluster.processes.running.has(leader) || cluster.boot(leader)),
          );
        });
      }
      cluster.run(60_000);
      cluster.endFaults();
      for (let n = 101; n <= 112; n++)
        assert.ok(runUntilDone(cluster, jobId(n), 300_000), jobId(n));
      assertNoViolations(cluster);
    }
  },
);
