/** Runs of a simulated cluster with random faults, reproducible from a seed. */
import type { ClusterOptions } from './cluster-options.js';
import { SimulatedCluster } from './simulated-cluster.js';
import { job } from './small-job.js';

const JOB_COUNT = 12;
const FAULT_PERIOD_MS = 120_000;
const FAULT_INTERVAL_MS = 4000;

/** A random element; undefined if there is none. */
const pick = <T>(cluster: SimulatedCluster, from: T[]): T | undefined =>
  from[Math.floor(cluster.random() * from.length)];

function crashNode(cluster: SimulatedCluster): void {
  const name = pick(cluster, cluster.nodeNames)!;
  if (!cluster.processes.running.has(name)) return;
  cluster.crash(name);
  cluster.at(
    200 + cluster.random() * 8000,
    () => cluster.processes.running.has(name) || cluster.boot(name),
  );
}

function hangNode(cluster: SimulatedCluster): void {
  const name = pick(cluster, cluster.nodeNames)!;
  cluster.hang(name, true);
  cluster.at(cluster.random() * 25_000, () => cluster.hang(name, false));
}

function hangWorker(cluster: SimulatedCluster): void {
  const worker = pick(cluster, [...cluster.workers.values()]);
  if (!worker) return;
  worker.isHung = true;
  cluster.at(cluster.random() * 25_000, () => (worker.isHung = false));
}

/** Cuts all traffic of a node or machine, or the direction from a node to it. */
function cutTraffic(cluster: SimulatedCluster): void {
  const name = pick(cluster, [...cluster.nodeNames, ...cluster.workers.keys()])!;
  const other = pick(cluster, cluster.nodeNames)!;
  const cut = cluster.random() < 0.5 ? name : `${other}>${name}`;
  cluster.network.cuts.add(cut);
  cluster.at(cluster.random() * 30_000, () => cluster.network.cuts.delete(cut));
}

function stopStateService(cluster: SimulatedCluster): void {
  cluster.state.down = true;
  cluster.at(cluster.random() * 15_000, () => cluster.state.restore());
}

/** Loses 10 % of the calls to the state service before their execution and 10 % after it. */
function loseStateCalls(cluster: SimulatedCluster): void {
  cluster.stateLink.fault = () => {
    const sample = cluster.random();
    return sample < 0.1 ? 'lost_before' : sample < 0.2 ? 'lost_after' : undefined;
  };
  cluster.at(cluster.random() * 10_000, () => (cluster.stateLink.fault = null));
}

function reclaimMachine(cluster: SimulatedCluster): void {
  const id = pick(cluster, [...cluster.cloud.machines.keys()]);
  if (id) cluster.cloud.removeMachine(id);
}

function cutResponses(cluster: SimulatedCluster): void {
  const id = pick(cluster, [...cluster.workers.keys()]);
  if (!id) return;
  cluster.network.cutResponsesTo(id);
  cluster.at(cluster.random() * 40_000, () => cluster.network.restoreResponsesTo(id));
}

function duplicateHeartbeats(cluster: SimulatedCluster): void {
  cluster.fleet.duplicateDelay = () =>
    cluster.random() < 0.3 ? 100 + cluster.random() * 60_000 : null;
  cluster.at(cluster.random() * 20_000, () => (cluster.fleet.duplicateDelay = null));
}

function isolateNode(cluster: SimulatedCluster): void {
  cluster.network.isolate(pick(cluster, cluster.nodeNames)!);
  cluster.at(cluster.random() * 30_000, () => cluster.network.cuts.clear());
}

function partition(cluster: SimulatedCluster): void {
  const machines = [...cluster.workers.values()].filter((w) => w.machine.zone === 'b');
  cluster.network.partition([
    pick(cluster, cluster.nodeNames)!,
    ...machines.map((w) => w.machine.id),
  ]);
  cluster.at(cluster.random() * 45_000, () => cluster.network.cuts.clear());
}

function rebootMachine(cluster: SimulatedCluster): void {
  pick(cluster, [...cluster.workers.values()])?.reboot();
}

function restartNodeQuickly(cluster: SimulatedCluster): void {
  const name = pick(cluster, cluster.nodeNames)!;
  if (!cluster.processes.running.has(name)) return;
  cluster.crash(name);
  cluster.at(
    50 + cluster.random() * 500,
    () => cluster.processes.running.has(name) || cluster.boot(name),
  );
}

/** Some transactions are answered as lost and executed 2 to 12 s later, after newer ones. */
function delayTransactions(cluster: SimulatedCluster): void {
  cluster.stateLink.fault = (_node, call) =>
    call.writeCount > 0 && cluster.random() < 0.3 ? 2000 + cluster.random() * 10_000 : undefined;
  cluster.at(cluster.random() * 15_000, () => (cluster.stateLink.fault = null));
}

function slowStateService(cluster: SimulatedCluster): void {
  cluster.stateLink.extraDelay = () => (cluster.random() < 0.5 ? cluster.random() * 1500 : 0);
  cluster.at(cluster.random() * 15_000, () => (cluster.stateLink.extraDelay = null));
}

function cutHeartbeats(cluster: SimulatedCluster): void {
  const id = pick(cluster, [...cluster.workers.keys()]);
  if (!id) return;
  cluster.network.cutHeartbeatsOf(id);
  cluster.at(cluster.random() * 40_000, () => cluster.network.restoreHeartbeatsOf(id));
}

/** The state service refuses one node, usually the leader; in half the cases an outage follows. */
function refuseNode(cluster: SimulatedCluster): void {
  const name =
    (cluster.random() < 0.7 ? cluster.leader() : null) ?? pick(cluster, cluster.nodeNames)!;
  cluster.state.refusedNodes.add(name);
  cluster.at(5000 + cluster.random() * 15_000, () => cluster.state.refusedNodes.delete(name));
  if (cluster.random() < 0.5)
    cluster.at(500 + cluster.random() * 3000, () => stopStateService(cluster));
}

/** A user cancels a job with a running task, and the machine of that task hangs. */
function cancelOnHungMachine(cluster: SimulatedCluster): void {
  const workersWithTasks = [...cluster.workers.values()].filter((w) => w.tasks.length > 0);
  const worker = pick(cluster, workersWithTasks);
  const piece = worker?.tasks.find((t) => t.status === 'running')?.piece;
  const node = pick(cluster, [...cluster.processes.running.keys()]);
  if (!worker || !piece || !node) return;
  const id = piece.split('/')[0]!;
  if (cluster.checker.isAccepted(id)) cluster.cancel(id, node);
  worker.isHung = true;
  cluster.at(cluster.random() * 30_000, () => (worker.isHung = false));
}

/** Crashes the current leader five times, every 6 s, and restarts it. */
function crashLeadersRepeatedly(cluster: SimulatedCluster): void {
  for (let i = 0; i < 5; i++) {
    cluster.at(i * 6000, () => {
      const leader = cluster.leader();
      if (!leader || !cluster.processes.running.has(leader)) return;
      cluster.crash(leader);
      cluster.at(
        300 + cluster.random() * 5000,
        () => cluster.processes.running.has(leader) || cluster.boot(leader),
      );
    });
  }
}

/** One fault is drawn every `FAULT_INTERVAL_MS`; an entry listed twice is twice as likely. */
const FAULTS = [
  delayTransactions,
  slowStateService,
  cutHeartbeats,
  cutHeartbeats,
  refuseNode,
  refuseNode,
  cancelOnHungMachine,
  cancelOnHungMachine,
  crashLeadersRepeatedly,
  crashNode,
  crashNode,
  hangNode,
  hangWorker,
  cutTraffic,
  cutTraffic,
  stopStateService,
  loseStateCalls,
  reclaimMachine,
  cutResponses,
  duplicateHeartbeats,
  isolateNode,
  partition,
  partition,
  rebootMachine,
  restartNodeQuickly,
];

/** Schedules a user who submits a job, retries until it is accepted, polls it and may cancel it. */
function scheduleUser(cluster: SimulatedCluster, number: number, { jobFields }: Workload): void {
  const randomNode = () => pick(cluster, [...cluster.processes.running.keys()]);
  const id = `run-${String(number).padStart(6, '0')}`;
  // 40 % of the jobs have predecessors: those of three earlier jobs that have been accepted.
  const hasPredecessors = cluster.random() < 0.4;
  const predecessors = () =>
    [number - 1, number - 2, number - 5]
      .map((n) => `run-${String(n).padStart(6, '0')}`)
      .filter((other) => cluster.checker.isAccepted(other));
  const body = job(number, {
    batch: 1 + Math.floor(cluster.random() * 6),
    expected_s: 2 + cluster.random() * 30,
    urgency: pick(cluster, ['urgent', 'normal', 'idle']),
    ...jobFields(cluster),
  });
  const step = () => {
    const node = randomNode();
    if (cluster.checker.finalStatus(id) !== null) return;
    // A retry must repeat the same request, so the predecessors are chosen only once.
    if (hasPredecessors) body['waits_on'] ??= predecessors();
    if (node && !cluster.checker.isAccepted(id)) cluster.submit(body, node);
    else if (node) cluster.poll(id, node);
    cluster.at(2500, step);
  };
  cluster.at(cluster.random() * FAULT_PERIOD_MS, step);
  if (cluster.random() < 0.3) {
    cluster.at(cluster.random() * FAULT_PERIOD_MS * 1.2, () => {
      const node = randomNode();
      if (node && cluster.checker.isAccepted(id)) cluster.cancel(id, node);
    });
  }
}

/** Owned machines of a cluster, and the fields that vary between its users' jobs. */
interface Workload {
  ownedMachineCount: number;
  jobFields: (cluster: SimulatedCluster) => Record<string, unknown>;
}

/** Owned machines, and small array jobs of one team. */
const OWNED_FLEET: Workload = { ownedMachineCount: 3, jobFields: () => ({}) };

/** Rented machines alone, and jobs of all kinds, teams and placement constraints. */
const RENTED_FLEET: Workload = { ownedMachineCount: 0, jobFields: mixedJobFields };

function mixedJobFields(cluster: SimulatedCluster): Record<string, unknown> {
  const chance = (probability: number) => cluster.random() < probability;
  const checkpoints = chance(0.4);
  return {
    owner: pick(cluster, ['team', 'other']),
    shape: chance(0.2) ? 'group' : 'array',
    spare: chance(0.6),
    cpus: pick(cluster, [0.5, 1, 2]),
    bundle: pick(cluster, ['img-1', 'img-2', 'img-3']),
    image_gb: pick(cluster, [0.5, 1, 3]),
    same_place: chance(0.2),
    apart: chance(0.1),
    due_s: chance(0.5) ? 30 + cluster.random() * 120 : null,
    snapshot_s: checkpoints ? 3 : 0,
    flush_s: checkpoints ? 1 : 0,
  };
}

/** Options that enforce limits of sockets and of the state service. */
const RENTED_FLEET_OPTIONS: ClusterOptions = {
  capacity: 10,
  cpuLimit: 24,
  guarantee: 8,
  fetches: { gbPerS: 0.4, shared: true },
  limits: { sockets: 400, requestsPerSecond: 120, writesPerSecond: 30 },
};

/** `runRandomFaults` on a rented fleet with enforced limits and jobs of all kinds. */
export const runRandomFaultsOnRentedFleet = (
  options: ClusterOptions,
): ReturnType<typeof runRandomFaults> =>
  runRandomFaults({ ...RENTED_FLEET_OPTIONS, ...options }, RENTED_FLEET);

/**
 * Injects random faults for `FAULT_PERIOD_MS`, then ends all faults and waits for the jobs to end.
 * Returns the cluster and the ids of the jobs that have not ended.
 */
export function runRandomFaults(
  options: ClusterOptions,
  workload: Workload = OWNED_FLEET,
): {
  cluster: SimulatedCluster;
  unfinishedJobs: string[];
} {
  const cluster = new SimulatedCluster({ capacity: 6, cpuLimit: 16, ...options });
  for (let i = 0; i < workload.ownedMachineCount; i++) cluster.cloud.addMachine(i % 2 ? 'a' : 'b');
  const ids = Array.from({ length: JOB_COUNT }, (_, i) => i + 1);
  for (const i of ids) scheduleUser(cluster, i, workload);
  for (let at = 8000; at < FAULT_PERIOD_MS; at += FAULT_INTERVAL_MS) {
    cluster.at(at, () => pick(cluster, FAULTS)!(cluster));
  }
  cluster.run(FAULT_PERIOD_MS);
  cluster.run(30_000);
  cluster.endFaults();
  const name = (i: number) => `run-${String(i).padStart(6, '0')}`;
  const unfinishedJobs = () =>
    ids.map(name).filter((id) => cluster.checker.finalStatus(id) === null);
  cluster.runUntil(() => unfinishedJobs().length === 0, 400_000);
  return { cluster, unfinishedJobs: unfinishedJobs() };
}
