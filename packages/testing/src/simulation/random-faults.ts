/** Random faults on a simulated cluster, drawn from a seed. */
import type { ClusterOptions } from './cluster-options.js';
import { SimulatedCluster } from './simulated-cluster.js';
import { job } from './small-job.js';

const JOB_COUNT = 12;
const FAULT_PERIOD_MS = 120_000;
const FAULT_INTERVAL_MS = 4000;

const pick = <T>(cluster: SimulatedCluster, from: T[]): T | undefined =>
  from[Math.floor(cluster.random() * from.length)];

function crash(cluster: SimulatedCluster): void {
  const name = pick(cluster, cluster.nodeNames)!;
  if (!cluster.processes.running.has(name)) return;
  cluster.crash(name);
  cluster.at(
    200 + cluster.random() * 8000,
    () => cluster.processes.running.has(name) || cluster.boot(name),
  );
}

function hang(cluster: SimulatedCluster): void {
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

function cut(cluster: SimulatedCluster): void {
  const name = pick(cluster, [...cluster.nodeNames, ...cluster.workers.keys()])!;
  const other = pick(cluster, cluster.nodeNames)!;
  const cut = cluster.random() < 0.5 ? name : `${other}>${name}`;
  cluster.network.cuts.add(cut);
  cluster.at(cluster.random() * 30_000, () => cluster.network.cuts.delete(cut));
}

function outage(cluster: SimulatedCluster): void {
  cluster.state.down = true;
  cluster.at(cluster.random() * 15_000, () => cluster.state.restore());
}

function loseStateCalls(cluster: SimulatedCluster): void {
  cluster.stateLink.fault = () => {
    const dice = cluster.random();
    return dice < 0.1 ? 'lost_before' : dice < 0.2 ? 'lost_after' : undefined;
  };
  cluster.at(cluster.random() * 10_000, () => (cluster.stateLink.fault = null));
}

function reclaimMachine(cluster: SimulatedCluster): void {
  const id = pick(cluster, [...cluster.cloud.machines.keys()]);
  if (id) cluster.cloud.take(id);
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

function isolate(cluster: SimulatedCluster): void {
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

function restartQuickly(cluster: SimulatedCluster): void {
  const name = pick(cluster, cluster.nodeNames)!;
  if (!cluster.processes.running.has(name)) return;
  cluster.crash(name);
  cluster.at(
    50 + cluster.random() * 500,
    () => cluster.processes.running.has(name) || cluster.boot(name),
  );
}

/** Transactions get no answer and are carried out after newer ones. */
function lateWrites(cluster: SimulatedCluster): void {
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

/** The state service refuses one node, perhaps the leader, and soon perhaps everybody. */
function refuseNode(cluster: SimulatedCluster): void {
  const name =
    (cluster.random() < 0.7 ? cluster.leader() : null) ?? pick(cluster, cluster.nodeNames)!;
  cluster.state.refusedNodes.add(name);
  cluster.at(5000 + cluster.random() * 15_000, () => cluster.state.refusedNodes.delete(name));
  if (cluster.random() < 0.5) cluster.at(500 + cluster.random() * 3000, () => outage(cluster));
}

/** Users call off what runs, and its machines hang. */
function cancelOnHungMachine(cluster: SimulatedCluster): void {
  const here = [...cluster.workers.values()].filter((w) => w.tasks.length > 0);
  const worker = pick(cluster, here);
  const piece = worker?.tasks.find((t) => t.status === 'running')?.piece;
  const node = pick(cluster, [...cluster.processes.running.keys()]);
  if (!worker || !piece || !node) return;
  const id = piece.split('/')[0]!;
  if (cluster.checker.isAccepted(id)) cluster.cancel(id, node);
  worker.isHung = true;
  cluster.at(cluster.random() * 30_000, () => (worker.isHung = false));
}

function changeLeaders(cluster: SimulatedCluster): void {
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

const FAULTS = [
  lateWrites,
  slowStateService,
  cutHeartbeats,
  cutHeartbeats,
  refuseNode,
  refuseNode,
  cancelOnHungMachine,
  cancelOnHungMachine,
  changeLeaders,
  crash,
  crash,
  hang,
  hangWorker,
  cut,
  cut,
  outage,
  loseStateCalls,
  reclaimMachine,
  cutResponses,
  duplicateHeartbeats,
  isolate,
  partition,
  partition,
  rebootMachine,
  restartQuickly,
];

function addUser(cluster: SimulatedCluster, number: number, { jobFields }: Workload): void {
  const node = () => pick(cluster, [...cluster.processes.running.keys()]);
  const id = `run-${String(number).padStart(6, '0')}`;
  // Some wait for earlier ones, as far as those were accepted.
  const chained = cluster.random() < 0.4;
  const earlier = () =>
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
    const at = node();
    if (cluster.checker.finalStatus(id) !== null) return;
    // A retry is the same request again, so what it names is settled at the first.
    if (chained) body['waits_on'] ??= earlier();
    if (at && !cluster.checker.isAccepted(id)) cluster.submit(body, at);
    else if (at) cluster.poll(id, at);
    cluster.at(2500, step);
  };
  cluster.at(cluster.random() * FAULT_PERIOD_MS, step);
  if (cluster.random() < 0.3) {
    cluster.at(cluster.random() * FAULT_PERIOD_MS * 1.2, () => {
      const at = node();
      if (at && cluster.checker.isAccepted(id)) cluster.cancel(id, at);
    });
  }
}

/** What a site consists of beside its options, and what its users submit. */
interface Workload {
  ownedMachines: number;
  jobFields: (cluster: SimulatedCluster) => Record<string, unknown>;
}

/** Owned machines, and small job arrays of one team. */
const OWNED_FLEET: Workload = { ownedMachines: 3, jobFields: () => ({}) };

/** Only machines that are scaled out, and jobs of all kinds, teams and placement constraints. */
const RENTED_FLEET: Workload = { ownedMachines: 0, jobFields: mixedJobFields };

function mixedJobFields(cluster: SimulatedCluster): Record<string, unknown> {
  const chance = (share: number) => cluster.random() < share;
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

/** Options of a site under which limits of sockets and of the state service are enforced. */
const RENTED_SITE: ClusterOptions = {
  capacity: 10,
  cpuLimit: 24,
  guarantee: 8,
  fetches: { gbPerS: 0.4, shared: true },
  limits: { sockets: 400, requestsPerSecond: 120, writesPerSecond: 30 },
};

/** The same on a rented fleet with enforced limits and jobs of all kinds. */
export const playOnRentedFleet = (options: ClusterOptions): ReturnType<typeof playRandomFaults> =>
  playRandomFaults({ ...RENTED_SITE, ...options }, RENTED_FLEET);

/** Random faults for a while, then none; returns the numbers of jobs that have not ended. */
export function playRandomFaults(
  options: ClusterOptions,
  workload: Workload = OWNED_FLEET,
): {
  cluster: SimulatedCluster;
  open: string[];
} {
  const cluster = new SimulatedCluster({ capacity: 6, cpuLimit: 16, ...options });
  for (let i = 0; i < workload.ownedMachines; i++) cluster.cloud.add(i % 2 ? 'a' : 'b');
  const ids = Array.from({ length: JOB_COUNT }, (_, i) => i + 1);
  for (const i of ids) addUser(cluster, i, workload);
  for (let at = 8000; at < FAULT_PERIOD_MS; at += FAULT_INTERVAL_MS) {
    cluster.at(at, () => pick(cluster, FAULTS)!(cluster));
  }
  cluster.run(FAULT_PERIOD_MS);
  cluster.run(30_000);
  cluster.endFaults();
  const name = (i: number) => `run-${String(i).padStart(6, '0')}`;
  const open = () => ids.map(name).filter((id) => cluster.checker.finalStatus(id) === null);
  cluster.runUntil(() => open().length === 0, 400_000);
  return { cluster, open: open() };
}
