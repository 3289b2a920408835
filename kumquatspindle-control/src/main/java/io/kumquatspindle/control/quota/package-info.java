/** Token levels of customers and slots of the shares stream. */
package io.kumquatspindle.control.quota;
