/** Decision code: pure state machines without I/O. */
package io.kumquatspindle.engine;
