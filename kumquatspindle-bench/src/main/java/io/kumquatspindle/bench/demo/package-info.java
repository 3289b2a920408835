/** Demo of a small site, from the first ticket to a graceful stop. */
package io.kumquatspindle.bench.demo;
