/**
 * Client accounts of jobs: whose key a call carries.
 * @module
 */
export {}
