/** Fakes of the outside, and a cluster on them in simulated time. */
export * from './simulated-cluster.js';
export * from './cluster-options.js';
export * from './small-job.js';
export * from './fake-state.js';
export * from './fake-cloud.js';
export * from './fake-worker.js';
export * from './rule-checker.js';
export * from './machine-room.js';
export * from './fake-sockets.js';
