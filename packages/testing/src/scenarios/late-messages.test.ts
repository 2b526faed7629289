import assert from 'node:assert/strict';
import { job } from '../index.js';
import { busyDeployment, testOnEachDeployment, readyDeployment } from './deployments.js';
import {
  JOB1,
  cancelAndConfirm,
  assertRecovery,
  jobId,
  followers,
  runningTaskCount,
  workers,
} from './steps.js';

testOnEachDeployment(
  'machines that hang after starts are sent cause no double run and stop cancelled tasks in time',
  (times) => {
    for (const hang of [1500, 5000, 9000]) {
      const cluster = readyDeployment(times);
      cluster.submit(job(1, { batch: 8, expected_s: 20 }), 'n-0');
      cluster.submit(job(2, { batch: 4, expected_s: 150 }), 'n-1');
      const sent = () => cluster.logLines.some((l) => l.message === 'start dispatched');
      assert.ok(cluster.runUntil(sent, 10_000));
      for (const w of workers(cluster)) w.isHung = true;
      cluster.cancel(jobId(2), 'n-2');
      cluster.run(hang);
      for (const w of workers(cluster)) w.isHung = false;
      assertRecovery(cluster, [1, 2]);
    }
  },
);

// The machine's heartbeats are lost, so the leader sends the stop directly. The machine hangs and
// executes it only when it resumes.
testOnEachDeployment(
  'a machine that hangs executes a direct stop as soon as it resumes',
  (times) => {
    const cluster = busyDeployment(times, 2, 6);
    const victim = workers(cluster)[0]!;
    cluster.network.cutHeartbeatsOf(victim.machine.id);
    cluster.run(times.heartbeatInterval * 2 + 2000);
    victim.isHung = true;
    cancelAndConfirm(cluster, 1, followers(cluster)[0]!);
    assert.ok(cluster.fleet.directCommandCount > 0);
    const cancelledTask = () =>
      victim.tasks.some((t) => t.piece.startsWith(JOB1) && t.status !== 'exited');
    assert.ok(cancelledTask(), 'the stop was not executed yet');
    victim.isHung = false;
    cluster.run(1000);
    assert.ok(!cancelledTask());
    assertRecovery(cluster, [1, 2]);
  },
);

testOnEachDeployment(
  'late copies of heartbeats of earlier agent epochs or attempts cause no lost or double run',
  (times) => {
    for (const delay of [2500, times.lease * 0.8, times.lease * 1.7]) {
      const cluster = readyDeployment(times, { runTime: 9000 });
      cluster.fleet.duplicateDelay = () => delay;
      for (let n = 1; n <= 4; n++) cluster.submit(job(n, { batch: 6 }), 'n-0');
      cluster.run(8000);
      workers(cluster)[0]!.reboot();
      cluster.cancel(JOB1, 'n-1');
      cluster.run(delay + 5000);
      workers(cluster)[1]!.reboot();
      cluster.run(delay + 5000);
      cluster.fleet.duplicateDelay = null;
      assertRecovery(cluster, [1, 2, 3, 4]);
    }
  },
);

testOnEachDeployment(
  'heartbeat copies that reach a new leader after its first decisions cause no lost or double run',
  (times) => {
    for (const delay of [times.leaderLease + 1500, times.leaderLease + 6000, times.lease]) {
      const cluster = readyDeployment(times, { runTime: 12_000 });
      for (let n = 1; n <= 4; n++) cluster.submit(job(n, { batch: 5 }), 'n-0');
      cluster.run(4000);
      cluster.fleet.duplicateTarget = () => cluster.leader();
      cluster.fleet.duplicateDelay = () => delay;
      cluster.run(3000);
      cluster.crash(cluster.leader()!);
      cluster.at(2000, () => cluster.cancel(JOB1, [...cluster.processes.running.keys()][0]!));
      cluster.run(3000);
      cluster.fleet.duplicateDelay = null;
      cluster.run(delay + 5000);
      assertRecovery(cluster, [1, 2, 3, 4]);
    }
  },
);

// The copy was sent before the last leader's starts arrived, so it shows a machine without tasks.
testOnEachDeployment(
  'a new leader whose first heartbeats are old and show no task starts no running task elsewhere',
  (times) => {
    const cluster = readyDeployment(times);
    cluster.fleet.duplicateDelay = () => 13_000;
    cluster.run(times.heartbeatInterval + 500);
    cluster.fleet.duplicateDelay = null;
    cluster.submit(job(1, { batch: 16, expected_s: 60 }), 'n-0');
    assert.ok(cluster.runUntil(() => runningTaskCount(cluster) === 16, 4000));
    for (const w of workers(cluster)) cluster.network.cutHeartbeatsOf(w.machine.id);
    cluster.fleet.duplicateTarget = () => cluster.leader();
    cluster.crash(cluster.leader()!);
    for (let i = 0; i < 4; i++) cluster.cloud.addMachine('a');
    cluster.run(18_000);
    for (const w of workers(cluster)) cluster.network.restoreHeartbeatsOf(w.machine.id);
    assertRecovery(cluster, [1]);
  },
);

testOnEachDeployment(
  'unanswered transactions that execute after newer ones lose no job and change no final status',
  (times) => {
    const cluster = readyDeployment(times, { runTime: 6000, capacity: 8 });
    const commits = (path: string) => path === '/commit';
    cluster.stateLink.fault = (_node, call) =>
      commits(call.path) && cluster.random() < 0.4 ? 2000 + cluster.random() * 10_000 : undefined;
    const numbers = Array.from({ length: 10 }, (_, i) => i + 1);
    const submitWithRetries = (n: number) => {
      if (cluster.checker.isAccepted(jobId(n))) return;
      cluster.submit(job(n, { batch: 3 }), cluster.nodeNames[n % 3]!);
      cluster.at(4000, () => submitWithRetries(n));
    };
    for (const n of numbers) cluster.at(n * 2000, () => submitWithRetries(n));
    for (const n of [2, 5]) cluster.at(n * 2000 + 9000, () => cluster.cancel(jobId(n), 'n-1'));
    cluster.at(15_000, () => cluster.cloud.addMachine('b'));
    cluster.run(30_000);
    cluster.crash(cluster.leader()!);
    cluster.run(40_000);
    assertRecovery(cluster, numbers);
  },
);
