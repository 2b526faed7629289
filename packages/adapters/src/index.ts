/** Adapters between the state owner and the outside. */
export * from './http-client.js';
export * from './log.js';
export * from './service.js';
export * from './token-bucket.js';
export * from './listen.js';
export * from './connections.js';
export * from './usage.js';
export * from './call-gates.js';
export * from './command-queue.js';
